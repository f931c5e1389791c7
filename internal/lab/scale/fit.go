package scale

import "math"

// Fit is a line, or a plane, through measured points by least squares.
type Fit struct {
	// Figure names the quantity that was fitted.
	Figure string `json:"of"`
	// Intercept is the value at zero, and Slopes has an element for each independent variable.
	Intercept float64   `json:"base"`
	Slopes    []float64 `json:"slopes"`
	// Residual is the root mean square of the residuals, and Points the number of measured
	// points.
	Residual float64 `json:"residual"`
	Points   int     `json:"points"`
}

// Predict returns the fitted value at x, which has an element for each slope.
func (fit *Fit) Predict(x ...float64) float64 {
	y := fit.Intercept
	for i, slope := range fit.Slopes {
		y += slope * x[i]
	}
	return y
}

// minPivot is the least pivot of the scaled normal equations, divided by their number of rows.
// With a smaller pivot the columns are taken to be linearly dependent.
const minPivot = 1e-9

// FitLine fits y to the columns of x by least squares. It returns false if there are too few
// points, or if the columns are linearly dependent, so that the slopes are not determined.
func FitLine(figure string, x [][]float64, y []float64) (Fit, bool) {
	if len(y) == 0 || len(y) <= len(x[0])+1 {
		return Fit{}, false
	}
	size := len(x[0]) + 1
	// The columns are scaled to the same magnitude, so that pivots can be compared with minPivot.
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

// solveInPlace solves linear equations by Gauss-Jordan elimination. Each row has the right side
// in its last column, where the solution replaces it. It returns false if the equations are
// singular.
func solveInPlace(matrix [][]float64) bool {
	size := len(matrix)
	for column := range size {
		best := column
		for row := column + 1; row < size; row++ {
			if math.Abs(matrix[row][column]) > math.Abs(matrix[best][column]) {
				best = row
			}
		}
		matrix[column], matrix[best] = matrix[best], matrix[column]
		if math.Abs(matrix[column][column]) < minPivot*float64(size) {
			return false
		}
		for row := range size {
			if row == column {
				continue
			}
			factor := matrix[row][column] / matrix[column][column]
			for i := column; i <= size; i++ {
				matrix[row][i] -= factor * matrix[column][i]
			}
		}
	}
	for column := range size {
		matrix[column][size] /= matrix[column][column]
	}
	return true
}
