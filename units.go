package carobward

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON parses text such as "250ms".
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf(`want a duration in quotes such as "250ms", got %s`, raw)
	}

	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`want a duration such as "250ms", got %q`, text)
	}

	*d = Duration(v)

	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// The units of a ByteCount.
const (
	Kilobyte ByteCount = 1 << 10
	Megabyte ByteCount = 1 << 20
)

// UnmarshalJSON parses a number of bytes or text such as "64KB".
func (b *ByteCount) UnmarshalJSON(raw []byte) error {
	text := strings.Trim(string(raw), `"`)
	unit := ByteCount(1)

	switch {
	case strings.HasSuffix(text, "KB"):
		unit = Kilobyte
	case strings.HasSuffix(text, "MB"):
		unit = Megabyte
	}

	digits := strings.TrimRight(text, "KMB")
	limit := int64(1<<62) / int64(unit)

	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > limit {
		return errors.Errorf(`want a size such as 1024, "64KB" or "1MB", got %s`, raw)
	}

	*b = ByteCount(n) * unit

	return nil
}
