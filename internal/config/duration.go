package config

import "time"

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// D gives the time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
