package scale

import "math"

// Fit is a line, or a plane, through measured points by least squares.
type Fit struct {
	// Figure names what was fitted.
	Figure    string    `json:"of"`
	Intercept float64   `json:"base"`
	Slopes    []float64 `json:"slopes"`
	// Residual is the root mean square of the residuals, and Points their number.
	Residual float64 `json:"residual"`
	Points   int     `json:"points"`
}

// Predict returns the fitted value at x, which has an element for each slope.
func (f *Fit) Predict(x ...float64) float64 {
	y := f.Intercept
	for i, s := range f.Slopes {
		y += s * x[i]
	}
	return y
}

// minPivot is the least pivot of the scaled normal equations, for each of their rows. Below
// it the columns are taken to be linearly dependent.
const minPivot = 1e-9

// FitLine fits y to the columns of x. It returns false if there are too few points, or if
// the columns are linearly dependent, so that the slopes are not determined.
func FitLine(figure string, x [][]float64, y []float64) (Fit, bool) {
	if len(y) == 0 || len(y) <= len(x[0])+1 {
		return Fit{}, false
	}
	size := len(x[0]) + 1
	// The columns are scaled to the same size, so that pivots can be compared with minPivot.
	scale := make([]float64, size)
	scale[0] = 1
	for _, row := range x {
		for i, v := range row {
			scale[i+1] = math.Max(scale[i+1], math.Abs(v))
		}
	}
	matrix := make([][]float64, size)
	for i := range matrix {
		matrix[i] = make([]float64, size+1)
	}
	for n, row := range x {
		sample := append([]float64{1}, row...)
		for i := range sample {
			if scale[i] == 0 {
				return Fit{}, false
			}
			sample[i] /= scale[i]
		}
		for i := range size {
			for j := range size {
				matrix[i][j] += sample[i] * sample[j]
			}
			matrix[i][size] += sample[i] * y[n]
		}
	}
	if !solveInPlace(matrix) {
		return Fit{}, false
	}
	out := Fit{Figure: figure, Intercept: matrix[0][size], Points: len(y)}
	for i := 1; i < size; i++ {
		out.Slopes = append(out.Slopes, matrix[i][size]/scale[i])
	}
	for n, row := range x {
		residual := y[n] - out.Predict(row...)
		out.Residual += residual * residual / float64(len(y))
	}
	out.Residual = math.Sqrt(out.Residual)
	return out, true
}

// solveInPlace solves linear equations, given as rows with the right side in the last
// column, by Gauss-Jordan elimination. The solution replaces the last column. It returns
// false if the equations are singular.
func solveInPlace(m [][]float64) bool {
	size := len(m)
	for column := range size {
		best := column
		for row := column + 1; row < size; row++ {
			if math.Abs(m[row][column]) > math.Abs(m[best][column]) {
				best = row
			}
		}
		m[column], m[best] = m[best], m[column]
		if math.Abs(m[column][column]) < minPivot*float64(size) {
			return false
		}
		for row := range size {
			if row == column {
				continue
			}
			f := m[row][column] / m[column][column]
			for i := column; i <= size; i++ {
				m[row][i] -= f * m[column][i]
			}
		}
	}
	for column := range size {
		m[column][size] /= m[column][column]
	}
	return true
}
