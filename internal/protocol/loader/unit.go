package loader

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span whose text form has a unit, such as "1500ms".
type Duration time.Duration

// UnmarshalText parses a time span with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%.40q is not a duration with a unit such as \"500ms\", \"2s\" or \"1h\"", text)
	}
	*d = Duration(v)
	return nil
}

// String returns d with a unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText returns the same text as [Duration.String].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Size is a number of bytes whose text form has a unit: B, KB, MB or GB, where
// each unit is 1024 times the one before.
type Size int64

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}

// UnmarshalText parses a number of bytes with a unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return errors.Errorf("%.40q is not a size with a unit such as \"64KB\" or \"16MB\"", text)
}

// String returns s in the largest unit of which it is a multiple.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && s != 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// MarshalText returns the same text as [Size.String].
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
