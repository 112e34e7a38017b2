package profile

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/renameio/v2"
	"github.com/pelletier/go-toml/v2"
)

// BaseFile is the file of a profile directory that stores its Base.
const BaseFile = ".wisteriacroft-base"

// A Base holds the digest of each profile when the directory and the service
// were last equal: the common ancestor of a three-way merge. The zero Base is
// that of a directory that has not been applied yet.
type Base struct {
	digests  []baseDigest // by name
	revision uint64       // highest revision seen in the service
}

// A baseDigest is one profile of a Base.
type baseDigest struct {
	Digest string `toml:"digest"`
	Name   string `toml:"name"`
}

// encodedBase is the format of the base file.
type encodedBase struct {
	Profiles []baseDigest `toml:"profiles"`
	Revision uint64       `toml:"revision"`
}

// NewBase returns the base of a directory that is equal to the document.
func NewBase(do Document) Base {
	ba := Base{revision: do.revision}
	for _, pr := range do.profiles {
		ba.digests = append(ba.digests, baseDigest{Digest: pr.Digest(), Name: pr.name})
	}
	return ba
}

// BaseAt returns the base of a directory that is equal to an earlier revision.
// It fails if the recorded changes do not go back that far.
func BaseAt(do Document, revision uint64) (Base, error) {
	if revision > do.revision {
		return Base{}, errors.Newf("base revision %d is above revision %d in the service", revision, do.revision)
	}
	ba := NewBase(do)
	digests := map[string]string{}
	for _, bd := range ba.digests {
		digests[bd.Name] = bd.Digest
	}
	reached := do.revision
	for _, ch := range slices.Backward(do.changes) {
		if ch.revision <= revision || len(ch.changed) == 0 {
			break
		}
		for _, cp := range ch.changed {
			digests[cp.Name] = cp.Before
		}
		reached = ch.revision - 1
	}
	if reached > revision {
		return Base{}, errors.Newf("base revision %d: the history goes back to revision %d only", revision, reached)
	}
	ba.digests = nil
	for name, digest := range digests {
		if digest != "" {
			ba.digests = append(ba.digests, baseDigest{Digest: digest, Name: name})
		}
	}
	slices.SortFunc(ba.digests, compareDigests)
	return ba, nil
}

// ReadBase reads the base file of a directory. A directory without one has the
// zero Base.
func ReadBase(dir string) (Base, error) {
	file := filepath.Join(dir, BaseFile)
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return Base{}, nil
	}
	if err != nil {
		return Base{}, errors.Wrap(err, "base file")
	}
	var en encodedBase
	if err := toml.Unmarshal(data, &en); err != nil {
		return Base{}, errors.Wrap(err, file)
	}
	ba := Base{digests: en.Profiles, revision: en.Revision}
	slices.SortFunc(ba.digests, compareDigests)
	return ba, nil
}

func compareDigests(a, b baseDigest) int { return strings.Compare(a.Name, b.Name) }

// Write writes the base file of a directory atomically.
func (ba Base) Write(dir string) error {
	data, err := toml.Marshal(encodedBase{Profiles: ba.digests, Revision: ba.revision})
	if err != nil {
		return errors.Wrap(err, "encode the base file")
	}
	err = renameio.WriteFile(filepath.Join(dir, BaseFile), data, 0o644)
	return errors.Wrap(err, "base file")
}

// digest returns a profile's digest in the base, or "".
func (ba Base) digest(name string) string {
	i, ok := slices.BinarySearchFunc(ba.digests, baseDigest{Name: name}, compareDigests)
	if !ok {
		return ""
	}
	return ba.digests[i].Digest
}

// with returns a copy of the base with another digest for one profile, or
// without the profile if the digest is "".
func (ba Base) with(name, digest string) Base {
	next := Base{revision: ba.revision}
	for _, bd := range ba.digests {
		if bd.Name != name {
			next.digests = append(next.digests, bd)
		}
	}
	if digest != "" {
		next.digests = append(next.digests, baseDigest{Digest: digest, Name: name})
	}
	slices.SortFunc(next.digests, compareDigests)
	return next
}

// Advance returns the base after an apply. It updates only the digests of
// profiles that are the same in the directory and in force. If it also updated a
// profile that another operator changed, the next apply would treat the
// directory's older text as a new change and revert the other operator's.
func (ba Base) Advance(current Document, wanted []Profile) Base {
	next := Base{revision: max(ba.revision, current.revision)}
	for _, name := range namesOf(ba, current, wanted) {
		digest := ba.digest(name)
		if mine := digestIn(wanted, name); mine == digestIn(current.profiles, name) {
			digest = mine
		}
		if digest != "" {
			next.digests = append(next.digests, baseDigest{Digest: digest, Name: name})
		}
	}
	return next
}

// namesOf returns the sorted names of the profiles of all three sides.
func namesOf(ba Base, current Document, wanted []Profile) []string {
	var names []string
	for _, bd := range ba.digests {
		names = append(names, bd.Name)
	}
	for _, pr := range current.profiles {
		names = append(names, pr.name)
	}
	for _, pr := range wanted {
		names = append(names, pr.name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// digestIn returns the digest of the profile with a name, or "".
func digestIn(profiles []Profile, name string) string {
	pr, ok := find(profiles, name)
	if !ok {
		return ""
	}
	return pr.Digest()
}

func find(profiles []Profile, name string) (Profile, bool) {
	for _, pr := range profiles {
		if pr.name == name {
			return pr, true
		}
	}
	return Profile{}, false
}
