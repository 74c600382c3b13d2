package configurer

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span whose JSON form is a string with a unit, such as
// "1500ms".
type Duration time.Duration

// MarshalJSON encodes d as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "1500ms" or "2s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "duration is not a text with a unit")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}
