package cwframe

import (
	"bytes"
	"strconv"
)

// ContentLength returns the Content-Length of a header block that Check accepts, or 0 if it has none that is a
// number.
func ContentLength(block []byte) int {
	for line := range bytes.SplitSeq(block, lineEnd) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !bytes.EqualFold(name, contentLength) {
			continue
		}

		n, err := strconv.Atoi(string(bytes.Trim(value, " \t")))
		if err != nil {
			return 0
		}

		return n
	}

	return 0
}
