package profile

// A Difference is a profile that two sides hold differently. A side that
// lacks the profile has the source "".
type Difference struct {
	Current string // in the service
	Name    string
	Wanted  string // in the operator's directory
}

// A Comparison sorts the differences between a directory and what is in force
// by who made them, seen from the base.
type Comparison struct {
	Conflicts []Difference // changed on both sides, differently
	Kept      []Difference // changed in the service only
	Wishes    []Difference // changed in the directory only
}

// Same tells whether there is no difference.
func (co Comparison) Same() bool {
	return len(co.Conflicts)+len(co.Kept)+len(co.Wishes) == 0
}

// Compare compares a directory's profiles with what is in force.
func Compare(ba Base, current Document, wanted []Profile) Comparison {
	return mergeThree(ba, current, wanted).Comparison
}

// A merge is the outcome of a three-way merge, profile by profile.
type merge struct {
	Comparison
	profiles []Profile        // the merged profiles
	touched  []ChangedProfile // what the merge changes in the service
}

// mergeThree merges the operator's wishes into what is in force. A profile
// that one side has left as it was in the base is taken from the other.
func mergeThree(ba Base, current Document, wanted []Profile) merge {
	var me merge
	for _, name := range namesOf(ba, current, wanted) {
		me.add(name, ba.digest(name), current, wanted)
	}
	return me
}

// add merges one profile, whose digest in the base is base.
func (me *merge) add(name, base string, current Document, wanted []Profile) {
	theirs, inCurrent := current.Profile(name)
	mine, inWanted := find(wanted, name)
	difference := Difference{Current: theirs.source, Name: name, Wanted: mine.source}
	theirDigest, myDigest := digestIn(current.profiles, name), digestIn(wanted, name)
	result, present := theirs, inCurrent
	switch {
	case myDigest == theirDigest:
	case myDigest == base:
		me.Kept = append(me.Kept, difference)
	case theirDigest == base:
		me.Wishes = append(me.Wishes, difference)
		me.touched = append(me.touched, ChangedProfile{After: myDigest, Before: theirDigest, Name: name})
		result, present = mine, inWanted
	default:
		me.Conflicts = append(me.Conflicts, difference)
	}
	if present {
		me.profiles = append(me.profiles, result)
	}
}
