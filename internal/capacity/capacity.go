// Package capacity works out what each role needs at a given size, from slopes
// that were measured by the project's benchmarks and are checked in.
package capacity

import (
	_ "embed" // for the measured points
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/gonum/stat"
)

//go:embed points.json
var pointsFile []byte

// ErrNoSeries reports a series that is not checked in.
var ErrNoSeries = errors.New("no such measured series")

// Series is one quantity measured at several sizes.
type Series struct {
	Name    string       `json:"name"`
	Unit    string       `json:"unit"` // of the quantity
	Per     string       `json:"per"`  // what the size counts
	Command string       `json:"command"`
	Points  [][2]float64 `json:"points"` // size, quantity
}

// Fit is a line through a series: quantity = Fixed + Slope × size. R2 is the
// share of the variance that it explains, Worst the largest residual as a share
// of the largest quantity.
type Fit struct {
	Series
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
	Worst float64 `json:"worst"`
}

// At returns the fitted quantity at a size.
func (f Fit) At(size float64) float64 { return f.Fixed + f.Slope*size }

// Fits are the lines of all series, by name.
type Fits map[string]Fit

// Load returns the lines through all measured series.
func Load() (Fits, error) {
	var all []Series
	if err := json.Unmarshal(pointsFile, &all); err != nil {
		return nil, fmt.Errorf("measured points: %w", err)
	}
	out := make(Fits, len(all))
	for _, s := range all {
		out[s.Name] = fit(s)
	}
	return out, nil
}

func fit(s Series) Fit {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p[0], p[1]
	}
	out := Fit{Series: s}
	out.Fixed, out.Slope = stat.LinearRegression(xs, ys, nil, false)
	out.R2 = 1
	if stat.Variance(ys, nil) > 0 {
		out.R2 = stat.RSquared(xs, ys, nil, out.Fixed, out.Slope)
	}
	largest := 0.0
	for i := range xs {
		out.Worst = max(out.Worst, abs(ys[i]-out.At(xs[i])))
		largest = max(largest, abs(ys[i]))
	}
	if largest > 0 {
		out.Worst /= largest
	}
	return out
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// Names returns the names of all series in order.
func (f Fits) Names() []string { return slices.Sorted(maps.Keys(f)) }

// must returns the named line. A missing one is a fault of the program.
func (f Fits) must(name string) Fit {
	x, ok := f[name]
	if !ok {
		panic(fmt.Sprintf("%v: %q", ErrNoSeries, name))
	}
	return x
}
