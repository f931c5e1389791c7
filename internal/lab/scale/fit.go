package scale

import "math"

// Fit is a straight line, or a plane, through measured points, by least squares.
type Fit struct {
	Of     string    `json:"of"`
	Base   float64   `json:"base"`
	Slopes []float64 `json:"slopes"`
	// Residual is the root of the mean square of what the fit misses, and Points how many
	// it was made of.
	Residual float64 `json:"residual"`
	Points   int     `json:"points"`
}

// At is what the fit says of a place.
func (f *Fit) At(x ...float64) float64 {
	y := f.Base
	for i, s := range f.Slopes {
		y += s * x[i]
	}
	return y
}

// flat is how small a pivot is, against the largest, that shows that the points do not
// tell two slopes from each other.
const flat = 1e-9

// Line fits y to the columns of x. It is false when there are too few points, or they lie
// so that they don't tell the slopes apart.
func Line(of string, x [][]float64, y []float64) (Fit, bool) {
	if len(y) == 0 || len(y) <= len(x[0])+1 {
		return Fit{}, false
	}
	k := len(x[0]) + 1
	// Columns are brought to a like size, or else a pivot says nothing.
	scale := make([]float64, k)
	scale[0] = 1
	for _, row := range x {
		for i, v := range row {
			scale[i+1] = math.Max(scale[i+1], math.Abs(v))
		}
	}
	m := make([][]float64, k)
	for i := range m {
		m[i] = make([]float64, k+1)
	}
	for n, row := range x {
		full := append([]float64{1}, row...)
		for i := range full {
			if scale[i] == 0 {
				return Fit{}, false
			}
			full[i] /= scale[i]
		}
		for i := range k {
			for j := range k {
				m[i][j] += full[i] * full[j]
			}
			m[i][k] += full[i] * y[n]
		}
	}
	if !eliminate(m) {
		return Fit{}, false
	}
	out := Fit{Of: of, Base: m[0][k], Points: len(y)}
	for i := 1; i < k; i++ {
		out.Slopes = append(out.Slopes, m[i][k]/scale[i])
	}
	for n, row := range x {
		miss := y[n] - out.At(row...)
		out.Residual += miss * miss / float64(len(y))
	}
	out.Residual = math.Sqrt(out.Residual)
	return out, true
}

// eliminate solves the equations in place.
func eliminate(m [][]float64) bool {
	k := len(m)
	for c := range k {
		best := c
		for r := c + 1; r < k; r++ {
			if math.Abs(m[r][c]) > math.Abs(m[best][c]) {
				best = r
			}
		}
		m[c], m[best] = m[best], m[c]
		if math.Abs(m[c][c]) < flat*float64(k) {
			return false
		}
		for r := range k {
			if r == c {
				continue
			}
			f := m[r][c] / m[c][c]
			for i := c; i <= k; i++ {
				m[r][i] -= f * m[c][i]
			}
		}
	}
	for c := range k {
		m[c][k] /= m[c][c]
	}
	return true
}
