package settings

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string, such as "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Trace(err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.NotValidf("duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
