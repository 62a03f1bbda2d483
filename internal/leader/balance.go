package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	buckets = (int(deployment.MaxKey) + 1) / deployment.BucketKeys
	// slowSpan and fastSpan are the spans of the two moving averages of a
	// bucket's rate. The slow one is steady; the fast one shows within half a
	// second that keys turned hot.
	slowSpan = 2 * time.Second
	fastSpan = 400 * time.Millisecond
	// A bucket is hot where its fast average lies this far above the slow one.
	hotFactor = 1.5
	hotRate   = 4.0 // requests a second
	// defaultWork is assumed of a target until its answers are measured.
	defaultWork = 50 * time.Millisecond
	// minGap is the difference of utilization between two targets that is worth
	// a move, and minUtilization that of the busier one.
	minGap         = 0.25
	minUtilization = 0.5
	// movesPerLook bounds the pieces that are moved at once.
	movesPerLook = 12
	// leastGain is by how much a move has to lower the highest utilization.
	leastGain = 0.1
	// leastRate is the rate below which a piece counts as idle.
	leastRate = 0.01
	// freedParts is into how many parts the keys of a lost target are shared out.
	freedParts = 4
)

// load is what entries measured of one service.
type load struct {
	at    timer.Instant
	slow  [buckets]float64     // requests a second
	fast  [buckets]float64     // the same over a shorter span
	sums  [buckets + 1]float64 // of the rates of all buckets before
	stale bool                 // sums are older than the averages
	work  map[string]float64
}

func (m *Model) loadOf(service string) *load {
	l, ok := m.loads[service]
	if !ok {
		l = &load{at: m.now, work: make(map[string]float64)}
		m.loads[service] = l
	}
	return l
}

// rate returns a bucket's requests a second.
func (l *load) rate(bucket int) float64 {
	slow, fast := l.slow[bucket], l.fast[bucket]
	if fast > slow*hotFactor+hotRate {
		return fast
	}
	return slow
}

// decay lets older measurements fade.
func (l *load) decay(now timer.Instant) {
	dt := now.Sub(l.at)
	if dt < 100*time.Millisecond {
		return
	}
	l.at = now
	slow := 1 / (1 + float64(dt)/float64(slowSpan))
	fast := 1 / (1 + float64(dt)/float64(fastSpan))
	for i := range l.slow {
		l.slow[i] *= slow
		l.fast[i] *= fast
	}
	l.stale = true
}

const (
	// workWeight is the largest weight of one report in the moving average of a
	// target's time for one request.
	workWeight = 0.3
	// workAnswers is how many answers have that weight at least.
	workAnswers = 6
)

func (m *Model) report(e Reported) {
	m.now = max(m.now, e.At)
	m.entries[e.Report.Instance] = e.At
	m.blames = append(m.blames, e.Report.Blames...)
	for _, k := range e.Report.Keys {
		l := m.loadOf(k.Service)
		l.decay(m.now)
		b := int(k.Bucket) / deployment.BucketKeys
		l.slow[b] += float64(k.Count) / slowSpan.Seconds()
		l.fast[b] += float64(k.Count) / fastSpan.Seconds()
		l.stale = true
	}
	for _, x := range e.Report.Targets {
		t, ok := m.state.Target(x.ID)
		if !ok || x.Answers == 0 {
			continue
		}
		l := m.loadOf(t.Service)
		old, ok := l.work[x.ID]
		if !ok {
			old = l.meanWork()
		}
		weight := workWeight * min(1, float64(x.Answers)/workAnswers)
		l.work[x.ID] = old + weight*(x.Busy.Seconds()/float64(x.Answers)-old)
	}
}

// meanWork returns the mean time of all targets for one request, in seconds.
func (l *load) meanWork() float64 {
	if len(l.work) == 0 {
		return defaultWork.Seconds()
	}
	sum := 0.0
	for _, w := range l.work {
		sum += w
	}
	return sum / float64(len(l.work))
}

// share is one target's part of a service.
type share struct {
	target deployment.Target
	work   float64            // seconds for one request
	rate   float64            // requests a second
	width  int                // keys held
	pieces []deployment.Piece // that may be moved
}

func (s share) utilization() float64 {
	return s.rate * s.perRequest()
}

// shares returns the usable targets of a service with what they hold.
func (m *Model) shares(service string) []share {
	l := m.loadOf(service)
	var out []share
	for _, t := range m.state.Targets() {
		if t.Service != service || t.Status != deployment.Live || !m.recentlyHeard(t) {
			continue
		}
		w, ok := l.work[t.ID]
		if !ok {
			w = l.meanWork()
		}
		out = append(out, share{target: t, work: w})
	}
	table, _ := m.state.Table(service)
	for _, p := range table.Pieces {
		holder := deployment.Life{ID: p.Target, Born: p.Born}
		if p.Phase == deployment.Moving {
			holder = m.plannedHolder(service, p)
		}
		i := slices.IndexFunc(out, func(s share) bool { return lifeOf(s.target) == holder })
		if p.Phase == deployment.Free || i < 0 {
			continue
		}
		out[i].rate += l.rateOf(p.From, p.To)
		out[i].width += p.Width()
		if p.Phase == deployment.Held && m.movable(service, p) {
			out[i].pieces = append(out[i].pieces, p)
		}
	}
	return out
}

// plannedHolder returns whom a piece on the move is meant for.
func (m *Model) plannedHolder(service string, p deployment.Piece) deployment.Life {
	h, ok := m.holds[pieceID{service: service, from: p.From, fence: p.Fence}]
	if !ok {
		return deployment.Life{}
	}
	return h.to
}

// movable reports whether a piece has been with its holder for a while, and the
// holder answers: keys of one that does not could not be served by anybody until
// their grants are over.
func (m *Model) movable(service string, p deployment.Piece) bool {
	h, ok := m.holds[pieceID{service: service, from: p.From, fence: p.Fence}]
	return ok && h.failures == 0 && h.confirmed != 0 && m.now.Sub(h.confirmed) > m.timing.Balance
}

// rateOf returns the requests a second for the keys, both ends included.
func (l *load) rateOf(from, to deployment.Key) float64 {
	return l.before(int(to)+1) - l.before(int(from))
}

// before returns the requests a second for all keys below the given one.
func (l *load) before(key int) float64 {
	if l.stale {
		for i := range buckets {
			l.sums[i+1] = l.sums[i] + l.rate(i)
		}
		l.stale = false
	}
	b := key / deployment.BucketKeys
	if b >= buckets {
		return l.sums[buckets]
	}
	return l.sums[b] + l.rate(b)*float64(key%deployment.BucketKeys)/deployment.BucketKeys
}

// placeFree chooses holders for keys that nobody holds.
func (m *Model) placeFree(freed []deployment.Assignment) []deployment.Assignment {
	var out []deployment.Assignment
	for _, table := range m.state.Tables() {
		if len(table.Pieces) == 1 && table.Pieces[0].Phase == deployment.Free {
			out = append(out, m.firstShares(table)...)
		}
	}
	planned := make(map[string]float64) // rate already planned for a target
	for _, a := range freed {
		out = append(out, m.placeOne(a, planned)...)
	}
	return out
}

// placeOne shares out the keys of one freed piece: to the planned target, or in
// parts to those with most room.
func (m *Model) placeOne(a deployment.Assignment, planned map[string]float64) []deployment.Assignment {
	shares := m.shares(a.Piece.Service)
	if len(shares) == 0 {
		return nil
	}
	if slices.ContainsFunc(shares, func(s share) bool { return lifeOf(s.target) == a.To }) {
		return []deployment.Assignment{a}
	}
	l := m.loadOf(a.Piece.Service)
	parts := []deployment.PieceRef{a.Piece}
	if int(a.Piece.To)-int(a.Piece.From) >= freedParts*deployment.BucketKeys {
		parts = cut(a.Piece, min(freedParts, len(shares)))
	}
	var out []deployment.Assignment
	for _, part := range parts {
		best := slices.MinFunc(shares, func(x, y share) int {
			ux := x.utilization() + planned[x.target.ID]
			uy := y.utilization() + planned[y.target.ID]
			switch {
			case ux < uy:
				return -1
			case ux > uy:
				return 1
			}
			return x.width - y.width
		})
		rate := l.rateOf(part.From, part.To)
		planned[best.target.ID] += rate*best.work/float64(max(best.target.Slots, 1)) + 0.01
		out = append(out, deployment.Assignment{Piece: part, To: lifeOf(best.target), Handover: a.Handover})
	}
	return out
}

// cut divides a piece into n parts of about the same width.
func cut(ref deployment.PieceRef, n int) []deployment.PieceRef {
	total := int(ref.To) - int(ref.From) + 1
	var out []deployment.PieceRef
	for i := range n {
		part := ref
		part.From = ref.From + deployment.Key(total*i/n)
		part.To = ref.From + deployment.Key(total*(i+1)/n-1)
		out = append(out, part)
	}
	return out
}

// firstShares gives each target an equal part, once no further target comes.
func (m *Model) firstShares(table deployment.KeyTable) []deployment.Assignment {
	shares := m.shares(table.Service)
	seen := m.seen[table.Service]
	if len(shares) != seen.count {
		if seen.count == 0 {
			seen.first = m.now
		}
		seen.count, seen.last = len(shares), m.now
		m.seen[table.Service] = seen
	}
	if len(shares) == 0 || m.now.Sub(seen.last) < m.timing.Settle && m.now.Sub(seen.first) < m.timing.SettleMost {
		return nil
	}
	var out []deployment.Assignment
	all := deployment.PieceRef{Service: table.Service, From: 0, To: deployment.MaxKey}
	for i, part := range cut(all, len(shares)) {
		out = append(out, deployment.Assignment{Piece: part, To: lifeOf(shares[i].target)})
	}
	return out
}

// rebalance moves keys from the busiest targets to those with most room, and to
// targets that hold nothing yet.
func (m *Model) rebalance() []deployment.PieceRef {
	if m.now.Sub(m.looked) < m.timing.Balance || !m.calm() {
		return nil
	}
	m.looked = m.now
	var out []deployment.PieceRef
	for _, table := range m.state.Tables() {
		m.loadOf(table.Service).decay(m.now)
		out = append(out, m.rebalanceService(table)...)
	}
	return out
}

func (m *Model) rebalanceService(table deployment.KeyTable) []deployment.PieceRef {
	shares := m.shares(table.Service)
	l := m.loadOf(table.Service)
	out := m.placeHot(table, shares)
	for len(out) < movesPerLook {
		low, high := extremes(shares)
		if low < 0 || high < 0 || !worthMove(shares[high], shares[low]) {
			break
		}
		i, ref, rate, ok := l.slice(table.Service, shares[high], shares[low])
		if !ok {
			break
		}
		out = append(out, ref)
		m.plannedMove(ref, lifeOf(shares[low].target))
		shares[high].give(i, ref, rate)
		shares[low].rate += rate
		shares[low].width += int(ref.To-ref.From) + 1
	}
	return out
}

// hotGain is the part of its present utilization that a single key may have at
// another target to be moved there.
const hotGain = 0.75

// placeHot moves single keys that exceed their holder to the target that can
// serve most of them.
func (m *Model) placeHot(table deployment.KeyTable, shares []share) []deployment.PieceRef {
	l := m.loadOf(table.Service)
	var out []deployment.PieceRef
	for h := range shares {
		high := &shares[h]
		for i, p := range high.pieces {
			rate := l.rateOf(p.From, p.To)
			if p.Width() > 1 || rate*high.perRequest() < 1 {
				continue
			}
			best := h
			for k, s := range shares {
				if s.perRequest() < shares[best].perRequest() {
					best = k
				}
			}
			if shares[best].perRequest() > hotGain*high.perRequest() {
				continue
			}
			ref := deployment.PieceRef{Service: table.Service, From: p.From, To: p.To, Fence: p.Fence}
			out = append(out, ref)
			m.plannedMove(ref, lifeOf(shares[best].target))
			high.give(i, ref, rate)
			shares[best].rate += rate
			shares[best].width++
			break
		}
	}
	return out
}

// extremes returns the target with most room, where one that holds nothing goes
// first, and the busiest other one that has something to give; -1 for none.
func extremes(shares []share) (low, high int) {
	low, high = -1, -1
	for i, s := range shares {
		if low < 0 || s.width == 0 && shares[low].width > 0 ||
			(s.width == 0) == (shares[low].width == 0) && s.utilization() < shares[low].utilization() {
			low = i
		}
	}
	for i, s := range shares {
		if i == low || len(s.pieces) == 0 {
			continue
		}
		if high < 0 || s.utilization() > shares[high].utilization() {
			high = i
		}
	}
	return low, high
}

// worthMove reports whether keys should go from one target to another.
func worthMove(from, to share) bool {
	if to.width == 0 {
		return true
	}
	return from.utilization() >= minUtilization && from.utilization()-to.utilization() >= minGap
}

// plannedMove remembers whom moved keys are meant for.
func (m *Model) plannedMove(ref deployment.PieceRef, to deployment.Life) {
	table, _ := m.state.Table(ref.Service)
	whole := m.holdOf(table, table.Find(ref.From))
	part := *whole
	part.to = to
	part.calling = false
	part.next = m.now
	m.holds[idOf(ref)] = &part
}

// give takes the keys, an end of the i-th piece, from what may be moved.
func (s *share) give(i int, ref deployment.PieceRef, rate float64) {
	s.rate -= rate
	s.width -= int(ref.To-ref.From) + 1
	s.pieces = slices.Clone(s.pieces)
	p := &s.pieces[i]
	switch {
	case p.From == ref.From && p.To == ref.To:
		s.pieces = slices.Delete(s.pieces, i, i+1)
	case p.From == ref.From:
		p.From = ref.To + 1
	default:
		p.To = ref.From - 1
	}
}

// slice chooses the end of one of the busier target's pieces whose load brings
// the two closest to each other, and returns that piece's index. It returns
// false where no piece would leave both less busy than the busier one is now.
func (l *load) slice(service string, high, low share) (int, deployment.PieceRef, float64, bool) {
	perRequest := high.perRequest() + low.perRequest()
	want := (high.utilization() - low.utilization()) / perRequest
	order := make([]int, len(high.pieces))
	rates := make([]float64, len(high.pieces))
	for i, p := range high.pieces {
		order[i], rates[i] = i, l.rateOf(p.From, p.To)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rates[b], rates[a]) })
	for _, i := range order {
		p := high.pieces[i]
		ref := deployment.PieceRef{Service: service, From: p.From, To: p.To, Fence: p.Fence}
		if rates[i] < leastRate {
			ref.From = p.From + deployment.Key(p.Width()/2)
			return i, ref, 0, p.Width() > 1 && low.width == 0
		}
		part, rate, ok := l.cutByRate(ref, want)
		if ok && low.utilization()+rate*low.perRequest() < high.utilization()-leastGain {
			return i, part, rate, true
		}
	}
	return 0, deployment.PieceRef{}, 0, false
}

// perRequest returns the part of its slots that one request a second takes.
func (s share) perRequest() float64 { return s.work / float64(max(s.target.Slots, 1)) }

// cutByRate takes keys from the end of a piece until they carry the wanted
// rate, or from its beginning, whichever comes closer with fewer keys.
func (l *load) cutByRate(ref deployment.PieceRef, want float64) (deployment.PieceRef, float64, bool) {
	total := l.rateOf(ref.From, ref.To)
	want = min(want, total)
	best, bestRate, bestCost := ref, 0.0, -1.0
	consider := func(part deployment.PieceRef) {
		rate := l.rateOf(part.From, part.To)
		miss := rate - want
		if miss < 0 {
			miss = -miss
		}
		cost := miss + 0.2*want*float64(part.To-part.From)/float64(ref.To-ref.From)
		if bestCost < 0 || cost < bestCost {
			best, bestRate, bestCost = part, rate, cost
		}
	}
	for at := int(ref.From) + 1; at <= int(ref.To); at++ {
		tail, head := ref, ref
		tail.From = deployment.Key(at)
		head.To = deployment.Key(at - 1)
		consider(tail)
		consider(head)
	}
	consider(ref)
	return best, bestRate, bestCost >= 0 && bestRate > 0
}

const (
	// entryExpiry is after how long without a report an entry no longer counts.
	entryExpiry = 3 * time.Second
	// adviceShare is the utilization that entries together may give a target: a
	// little more than it can do, so that its queue never runs empty.
	adviceShare = 1.3
	// leastShare keeps some requests for any keys going, so that a target that
	// turned faster is noticed.
	leastShare = 0.05
)

// advise works out which keys are asked for more often than their holders can
// serve. It answers a load in which each entry alone sends little.
func (m *Model) advise() []Effect {
	if m.now.Sub(m.advised) < m.timing.Balance {
		return nil
	}
	m.advised = m.now
	for name, at := range m.entries {
		if m.now.Sub(at) > entryExpiry {
			delete(m.entries, name)
		}
	}
	advice := instance.ReportResponse{Entries: len(m.entries)}
	for _, table := range m.state.Tables() {
		for _, s := range m.shares(table.Service) {
			if s.utilization() > adviceShare {
				advice.Overloads = append(advice.Overloads, m.overloads(table, s)...)
			}
		}
	}
	return []Effect{Advise{Advice: advice}}
}

// overloads shares out an overloaded target among its pieces. Where one key
// alone takes most of it, the others are not made to pay for that.
func (m *Model) overloads(table deployment.KeyTable, s share) []instance.Overload {
	l := m.loadOf(table.Service)
	var all []instance.Overload
	hot, hotRate := deployment.Key(0), 0.0
	for _, p := range table.Pieces {
		if p.Phase != deployment.Held || p.Target != s.target.ID || p.Born != s.target.Born {
			continue
		}
		for k := int(p.From); k <= int(p.To); k++ {
			if rate := l.rate(k / deployment.BucketKeys); rate > hotRate {
				hot, hotRate = deployment.Key(k), rate
			}
		}
		all = append(all, instance.Overload{Service: table.Service, From: p.From, To: p.To, Share: adviceShare / s.utilization()})
	}
	if others := (s.rate - hotRate) * s.perRequest(); hotRate > s.rate/2 && others < adviceShare {
		share := max(leastShare, (adviceShare-others)/(hotRate*s.perRequest()))
		return []instance.Overload{{Service: table.Service, From: hot, To: hot, Share: share}}
	}
	return all
}
