package cwjson

// maxEdits is the maximum edit distance at which a known key is suggested for an
// unknown one.
const maxEdits = 2

// nearest returns the known key with the smallest edit distance, or "" if none is
// within maxEdits.
func nearest(key string, known []string) string {
	best, shortest := "", maxEdits+1

	for _, k := range known {
		if d := distance(key, k); d < shortest && d < len(k) {
			best, shortest = k, d
		}
	}

	return best
}

// distance returns the Levenshtein distance between two short strings in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}

	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1

		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}

			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, diagonal+1)
		}
	}

	return row[len(b)]
}
