package control

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/config"
)

// Propose proposes a configuration if the accepted version is still Base.
type Propose struct {
	ChangeID string `msgpack:"change_id"`
	Base     uint64 `msgpack:"base"`
	Source   []byte `msgpack:"source"`
}

// Vote is a member's signed vote on a proposal.
type Vote struct {
	ChangeID  string `msgpack:"change_id"`
	Member    string `msgpack:"member"`
	Yes       bool   `msgpack:"yes"`
	Signature []byte `msgpack:"signature"`
}

// Hash returns the SHA-256 of a configuration's source in hex.
func Hash(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

// Ballot returns the bytes that a member signs for a vote.
func Ballot(changeID string, base uint64, hash, member string, yes bool) []byte {
	return fmt.Appendf(nil, "cranberrywind vote 1\n%q\n%d\n%s\n%q\n%t\n", changeID, base, hash, member, yes)
}

// propose is a compare-and-set on the accepted version: a proposal with another base
// is superseded immediately. A repeated proposal returns the current record of its
// change.
func (s State) propose(p Propose) (State, Result) {
	hash := Hash(p.Source)
	if c, ok := s.ChangeRecord(p.ChangeID); ok {
		if c.Hash != hash || c.Base != p.Base {
			return s, Result{Change: c, Reason: fmt.Sprintf("change ID %q was used for another configuration or base version", p.ChangeID)}
		}
		return s, Result{Change: c}
	}
	accepted, current := s.Config()
	c := ChangeRecord{ChangeID: p.ChangeID, Base: p.Base, Hash: hash, State: ChangeOpen}
	if p.Base != accepted.Version {
		c.State, c.Winner = ChangeSuperseded, s.winnerOf(p.Base)
		return s.withChangeRecord(c), Result{Change: c}
	}
	if reason := checkProposal(p, accepted, current, len(s.open)); reason != "" {
		return s, Result{Change: c, Reason: reason}
	}
	s.open = append(slices.Clone(s.open), Proposal{ChangeID: p.ChangeID, Base: p.Base, Source: p.Source})
	return s.withChangeRecord(c), Result{Change: c}
}

// checkProposal returns why a proposal is invalid, or "" if it is valid.
func checkProposal(p Propose, accepted AcceptedConfig, current config.Config, open int) string {
	if p.ChangeID == "" {
		return "change ID must be given"
	}
	if open >= maxOpen {
		return fmt.Sprintf("%d proposals are open, which is the limit", open)
	}
	parsed, err := config.Parse("text", p.Source)
	if err != nil {
		return err.Error()
	}
	if accepted.Version == 0 {
		return ""
	}
	if err := parsed.CheckChange(current); err != nil {
		return err.Error()
	}
	return ""
}

// winnerOf returns the change that was accepted on the base version.
func (s State) winnerOf(base uint64) string {
	for _, a := range s.history {
		if a.Version == base+1 {
			return a.ChangeID
		}
	}
	return ""
}

// vote counts a signed vote. A repeated vote, or one on a decided proposal, returns
// the current record of the change.
func (s State) vote(index uint64, v Vote) (State, Result) {
	change, ok := s.ChangeRecord(v.ChangeID)
	if !ok {
		return s, failf("change %q is not known", v.ChangeID)
	}
	i := slices.IndexFunc(s.open, func(p Proposal) bool { return p.ChangeID == v.ChangeID })
	if i < 0 {
		return s, Result{Change: change}
	}
	p := s.open[i]
	cfg := s.votingConfig(p)
	if reason := checkVote(cfg, change, p, v); reason != "" {
		return s, Result{Change: change, Reason: reason}
	}
	if slices.ContainsFunc(p.Votes, func(m MemberVote) bool { return m.Member == v.Member }) {
		return s, Result{Change: change}
	}
	p.Votes = append(slices.Clone(p.Votes), MemberVote{Member: v.Member, Yes: v.Yes})
	s.open = slices.Clone(s.open)
	s.open[i] = p
	return s.decide(index, change, p, len(cfg.Members))
}

// votingConfig returns the configuration whose members vote on the proposal: the
// accepted one, or the proposed one if none has been accepted yet.
func (s State) votingConfig(p Proposal) config.Config {
	if accepted, current := s.Config(); accepted.Version > 0 {
		return current
	}
	parsed, _ := config.Parse("text", p.Source)
	return parsed
}

// checkVote returns why a vote is invalid, or "" if it is valid.
func checkVote(cfg config.Config, c ChangeRecord, p Proposal, v Vote) string {
	member, ok := cfg.Member(v.Member)
	if !ok {
		return fmt.Sprintf("%q is not a member of the configuration that decides the vote", v.Member)
	}
	if !ed25519.Verify(member.PublicKey, Ballot(c.ChangeID, c.Base, c.Hash, v.Member, v.Yes), v.Signature) {
		return fmt.Sprintf("signature of member %q does not match", v.Member)
	}
	for _, m := range p.Votes {
		if m.Member == v.Member && m.Yes != v.Yes {
			return fmt.Sprintf("member %q has already voted otherwise", v.Member)
		}
	}
	return ""
}

// decide accepts the proposal if a majority of the members voted yes, and rejects it
// once no majority is possible.
func (s State) decide(index uint64, c ChangeRecord, p Proposal, members int) (State, Result) {
	yes := 0
	for _, m := range p.Votes {
		if m.Yes {
			yes++
		}
	}
	no := len(p.Votes) - yes
	switch {
	case 2*yes > members:
		return s.accept(index, c, p)
	case 2*no >= members:
		c.State = ChangeRejected
		s.open = slices.DeleteFunc(slices.Clone(s.open), func(x Proposal) bool { return x.ChangeID == p.ChangeID })
		return s.withChangeRecord(c), Result{Change: c}
	default:
		return s, Result{Change: c}
	}
}

// accept applies the proposed configuration. All other open proposals have the same
// base and are superseded.
func (s State) accept(index uint64, c ChangeRecord, p Proposal) (State, Result) {
	parsed, err := config.Parse("text", p.Source)
	if err != nil {
		return s, Result{Change: c, Reason: err.Error()}
	}
	for _, other := range s.open {
		if other.ChangeID == p.ChangeID {
			continue
		}
		superseded, _ := s.ChangeRecord(other.ChangeID)
		superseded.State, superseded.Winner = ChangeSuperseded, p.ChangeID
		s = s.withChangeRecord(superseded)
	}
	s.open = nil
	c.State, c.Version = ChangeAccepted, p.Base+1
	s = s.withChangeRecord(c)
	accepted := AcceptedConfig{Version: c.Version, ChangeID: c.ChangeID, Index: index, Source: p.Source}
	return s.withConfig(index, accepted, parsed), Result{Change: c}
}
