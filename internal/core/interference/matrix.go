package interference

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// invert returns the inverse of a symmetric positive definite matrix, by elimination. It
// overwrites the matrix.
func invert(m [][]float64) [][]float64 {
	out := make([][]float64, len(m))
	for i := range m {
		out[i] = make([]float64, len(m))
		out[i][i] = 1
	}
	for c := range m {
		scaleRow(m[c], out[c], 1/m[c][c])
		for i := range m {
			if i != c {
				subtractRow(m[i], m[c], m[i][c], out[i], out[c])
			}
		}
	}
	return out
}

func scaleRow(a, b []float64, by float64) {
	for j := range a {
		a[j] *= by
		b[j] *= by
	}
}

// subtractRow subtracts factor times the rows a and b from the rows fromA and fromB.
func subtractRow(fromA, a []float64, factor float64, fromB, b []float64) {
	for j := range a {
		fromA[j] -= factor * a[j]
		fromB[j] -= factor * b[j]
	}
}
