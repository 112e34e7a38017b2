package profile

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxNames bounds the length of a list of names.
const maxNames = 2048

func namesValue(field func(*Profile) *[]string) value {
	return value{
		typeName: "list of names",
		show: func(pr *Profile) string {
			quoted := make([]string, len(*field(pr)))
			for i, name := range *field(pr) {
				quoted[i] = strconv.Quote(name)
			}
			return "[" + strings.Join(quoted, ", ") + "]"
		},
		set: func(pr *Profile, raw any) error {
			list, ok := raw.([]any)
			if !ok {
				return wrongType(raw, "a list of names")
			}
			names, err := readNames(list)
			if err != nil {
				return err
			}
			*field(pr) = names
			return nil
		},
	}
}

func readNames(list []any) ([]string, error) {
	if len(list) == 0 || len(list) > maxNames {
		return nil, errors.Newf("%d names: want 1 to %d", len(list), maxNames)
	}
	names := make([]string, len(list))
	seen := make(map[string]bool, len(list))
	for i, raw := range list {
		name, ok := raw.(string)
		if !ok {
			return nil, wrongType(raw, "a name in quotes")
		}
		if err := checkName(name); err != nil {
			return nil, err
		}
		if seen[name] {
			return nil, errors.Newf("%q stands twice", name)
		}
		seen[name] = true
		names[i] = name
	}
	return names, nil
}

// Bounds of a share's weight.
const (
	minWeight = 0.01
	maxWeight = 1000
)

func sharesValue(field func(*Profile) *[]Share) value {
	return value{
		typeName: "table of numbers",
		show: func(pr *Profile) string {
			parts := make([]string, len(*field(pr)))
			for i, sh := range *field(pr) {
				parts[i] = fmt.Sprintf("%s = %s", sh.Trainer, formatNumber(sh.Weight))
			}
			if len(parts) == 0 {
				return "{}"
			}
			return "{ " + strings.Join(parts, ", ") + " }"
		},
		set: func(pr *Profile, raw any) error {
			table, ok := raw.(map[string]any)
			if !ok {
				return wrongType(raw, "a table of trainers and their weights")
			}
			shares := make([]Share, 0, len(table))
			for trainer, raw := range table {
				weight, err := readNumber(raw, minWeight, maxWeight)
				if err != nil {
					return errors.Wrap(err, trainer)
				}
				shares = append(shares, Share{Trainer: trainer, Weight: weight})
			}
			sort.Slice(shares, func(i, j int) bool { return shares[i].Trainer < shares[j].Trainer })
			*field(pr) = shares
			return nil
		},
	}
}
