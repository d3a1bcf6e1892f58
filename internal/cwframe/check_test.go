package cwframe

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		block string
		want  error
	}{
		"plain":               {"Host: a\r\nContent-Length: 3\r\n\r\n", nil},
		"without empty line":  {"Host: a\r\n", nil},
		"empty":               {"", nil},
		"chunked":             {"Transfer-Encoding: chunked\r\n\r\n", nil},
		"body is ignored":     {"A: b\r\n\r\nContent-Length: 1\nx", nil},
		"bare LF":             {"A: b\nC: d\r\n\r\n", ErrLine},
		"bare CR":             {"A: b\rC: d\r\n\r\n", ErrLine},
		"no line end":         {"A: b", ErrLine},
		"folded":              {"A: b\r\n c\r\n\r\n", ErrFold},
		"folded by tab":       {"A: b\r\n\tc\r\n\r\n", ErrFold},
		"space before colon":  {"Content-Length : 3\r\n\r\n", ErrName},
		"space in name":       {"Content Length: 3\r\n\r\n", ErrName},
		"no colon":            {"Host\r\n\r\n", ErrName},
		"no name":             {": a\r\n\r\n", ErrName},
		"two lengths":         {"Content-Length: 3\r\ncontent-length: 3\r\n\r\n", ErrLength},
		"length and encoding": {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ErrLength},
		"encoding and length": {"TRANSFER-ENCODING: chunked\r\nCONTENT-LENGTH: 3\r\n\r\n", ErrLength},
		"other encoding":      {"Transfer-Encoding: identity\r\n\r\n", ErrCoding},
		"encoding of chunks":  {"Transfer-Encoding: gzip, chunked\r\n\r\n", ErrCoding},
		"empty encoding":      {"Transfer-Encoding: \r\n\r\n", ErrCoding},
		"padded encoding":     {"Transfer-Encoding:\t Chunked \r\n\r\n", nil},
		"two encodings":       {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrLength},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Check([]byte(c.block)), cmpopts.EquateErrors()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
