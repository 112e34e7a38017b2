package profile

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// A value converts one key's value between TOML and a Profile.
type value struct {
	set      func(pr *Profile, raw any) error
	show     func(pr *Profile) string
	typeName string
}

// maxNameLength bounds the names of profiles, services and the like, in bytes.
const maxNameLength = 64

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

func checkName(name string) error {
	if len(name) > maxNameLength || !kebabCase.MatchString(name) {
		return errors.Newf("%.80q is no name in kebab-case of at most %d bytes", name, maxNameLength)
	}
	return nil
}

// wrongType returns the error for a value whose type is not the wanted one.
func wrongType(raw any, want string) error {
	return errors.Newf("want %s, got %s", want, tomlType(raw))
}

func tomlType(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

func durationValue(field func(*Profile) *time.Duration) value {
	return value{
		typeName: "duration",
		show:     func(pr *Profile) string { return strconv.Quote(formatDuration(*field(pr))) },
		set: func(pr *Profile, raw any) error {
			text, ok := raw.(string)
			if !ok {
				return wrongType(raw, `a duration with its unit, such as "250ms"`)
			}
			du, err := time.ParseDuration(text)
			if err != nil {
				return errors.Newf(`%q is no duration with its unit, such as "250ms"`, text)
			}
			if du < minDuration || du > maxDuration {
				return errors.Newf("%s is not between %s and %s",
					text, formatDuration(minDuration), formatDuration(maxDuration))
			}
			*field(pr) = du
			return nil
		},
	}
}

// formatDuration omits zero units: "10m", not "10m0s".
func formatDuration(du time.Duration) string {
	text := du.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func sizeValue(field func(*Profile) *Size, most Size) value {
	return value{
		typeName: "size",
		show:     func(pr *Profile) string { return strconv.Quote(field(pr).String()) },
		set: func(pr *Profile, raw any) error {
			text, ok := raw.(string)
			if !ok {
				return wrongType(raw, `a size with its unit, such as "64KB"`)
			}
			si, err := ParseSize(text)
			if err != nil {
				return err
			}
			if si < 1 || si > most {
				return errors.Newf("%s is not between 1B and %s", text, most)
			}
			*field(pr) = si
			return nil
		},
	}
}

func intValue(field func(*Profile) *int, least, most int64) value {
	return value{
		typeName: "integer",
		show:     func(pr *Profile) string { return strconv.Itoa(*field(pr)) },
		set: func(pr *Profile, raw any) error {
			number, ok := raw.(int64)
			if !ok {
				return wrongType(raw, "an integer")
			}
			if number < least || number > most {
				return errors.Newf("%d is not between %d and %d", number, least, most)
			}
			*field(pr) = int(number)
			return nil
		},
	}
}

// fractionValue converts a number from 0 to 1.
func fractionValue(field func(*Profile) *float64) value {
	return value{
		typeName: "number",
		show:     func(pr *Profile) string { return formatNumber(*field(pr)) },
		set: func(pr *Profile, raw any) error {
			number, err := readNumber(raw, 0, 1)
			if err != nil {
				return err
			}
			*field(pr) = number
			return nil
		},
	}
}

// formatNumber writes a number so that TOML reads it as a float again.
func formatNumber(number float64) string {
	text := strconv.FormatFloat(number, 'g', -1, 64)
	if !strings.ContainsAny(text, ".e") {
		text += ".0"
	}
	return text
}

func readNumber(raw any, least, most float64) (float64, error) {
	var number float64
	switch raw := raw.(type) {
	case int64:
		number = float64(raw)
	case float64:
		number = raw
	default:
		return 0, wrongType(raw, "a number")
	}
	inRange := number >= least && number <= most // false for NaN
	if !inRange {
		return 0, errors.Newf("%g is not between %g and %g", number, least, most)
	}
	return number, nil
}

func boolValue(field func(*Profile) *bool) value {
	return value{
		typeName: "boolean",
		show:     func(pr *Profile) string { return strconv.FormatBool(*field(pr)) },
		set: func(pr *Profile, raw any) error {
			yes, ok := raw.(bool)
			if !ok {
				return wrongType(raw, "true or false")
			}
			*field(pr) = yes
			return nil
		},
	}
}

func nameValue(field func(*Profile) *string) value {
	return value{
		typeName: "name",
		show:     func(pr *Profile) string { return strconv.Quote(*field(pr)) },
		set: func(pr *Profile, raw any) error {
			name, ok := raw.(string)
			if !ok {
				return wrongType(raw, "a name in quotes")
			}
			if err := checkName(name); err != nil {
				return err
			}
			*field(pr) = name
			return nil
		},
	}
}

func choiceValue[T ~string](field func(*Profile) *T, choices ...T) value {
	quoted := make([]string, len(choices))
	for i, ch := range choices {
		quoted[i] = strconv.Quote(string(ch))
	}
	want := strings.Join(quoted, " or ")
	return value{
		typeName: want,
		show:     func(pr *Profile) string { return strconv.Quote(string(*field(pr))) },
		set: func(pr *Profile, raw any) error {
			text, ok := raw.(string)
			if !ok {
				return wrongType(raw, want)
			}
			for _, ch := range choices {
				if string(ch) == text {
					*field(pr) = ch
					return nil
				}
			}
			return errors.Newf("%.80q is not %s", text, want)
		},
	}
}
