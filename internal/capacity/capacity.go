// Package capacity estimates what each role needs in a deployment of a given size. It
// fits lines to the results of the project's benchmarks, which are checked in as
// points.json.
package capacity

import (
	_ "embed" // embeds the measured points
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/gonum/stat"
)

//go:embed points.json
var pointsJSON []byte

// ErrNoSeries reports a series that points.json does not contain.
var ErrNoSeries = errors.New("no such measured series")

// Series is a quantity measured at several sizes.
type Series struct {
	Name    string       `json:"name"`
	Unit    string       `json:"unit"` // of the quantity
	Per     string       `json:"per"`  // what the size counts, such as targets
	Command string       `json:"command"`
	Points  [][2]float64 `json:"points"` // size, quantity
}

// Fit is the regression line of a series: quantity = Intercept + Slope × size. R2 is
// the coefficient of determination, and MaxResidual the largest residual as a share of
// the largest quantity.
type Fit struct {
	Series
	Intercept   float64 `json:"fixed"`
	Slope       float64 `json:"slope"`
	R2          float64 `json:"r2"`
	MaxResidual float64 `json:"worst"`
}

// At returns the fitted quantity at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Fits holds the fits of all series by name.
type Fits map[string]Fit

// Load returns the fits of all measured series.
func Load() (Fits, error) {
	var all []Series
	if err := json.Unmarshal(pointsJSON, &all); err != nil {
		return nil, fmt.Errorf("measured points: %w", err)
	}
	out := make(Fits, len(all))
	for _, s := range all {
		out[s.Name] = fitLine(s)
	}
	return out, nil
}

func fitLine(s Series) Fit {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p[0], p[1]
	}
	out := Fit{Series: s}
	out.Intercept, out.Slope = stat.LinearRegression(xs, ys, nil, false)
	out.R2 = 1
	if stat.Variance(ys, nil) > 0 {
		out.R2 = stat.RSquared(xs, ys, nil, out.Intercept, out.Slope)
	}
	largest := 0.0
	for i := range xs {
		out.MaxResidual = max(out.MaxResidual, abs(ys[i]-out.At(xs[i])))
		largest = max(largest, abs(ys[i]))
	}
	if largest > 0 {
		out.MaxResidual /= largest
	}
	return out
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// Names returns the names of all series in alphabetical order.
func (f Fits) Names() []string { return slices.Sorted(maps.Keys(f)) }

// must returns the fit of the named series. It panics if there is none, which is a
// programming error.
func (f Fits) must(name string) Fit {
	x, ok := f[name]
	if !ok {
		panic(fmt.Sprintf("%v: %q", ErrNoSeries, name))
	}
	return x
}
