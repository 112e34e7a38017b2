package profile

// A Difference is a profile that differs between two sides. A side without the
// profile has the source "".
type Difference struct {
	Current string // in the service
	Name    string
	Wanted  string // in the operator's directory
}

// A Comparison groups the differences between a directory and the document in
// force by the side that changed since the base.
type Comparison struct {
	Conflicts []Difference // changed on both sides, differently
	Kept      []Difference // changed in the service only
	Wishes    []Difference // changed in the directory only
}

// Same reports whether there is no difference.
func (co Comparison) Same() bool {
	return len(co.Conflicts)+len(co.Kept)+len(co.Wishes) == 0
}

// Compare compares a directory's profiles with the document in force.
func Compare(ba Base, current Document, wanted []Profile) Comparison {
	return threeWayMerge(ba, current, wanted).Comparison
}

// A merge is the result of a three-way merge.
type merge struct {
	Comparison
	profiles []Profile        // the merged profiles
	changed  []ChangedProfile // changed in the service
}

// threeWayMerge merges the operator's profiles into the document in force. A
// profile that one side has not changed since the base is taken from the other.
func threeWayMerge(ba Base, current Document, wanted []Profile) merge {
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
		me.changed = append(me.changed, ChangedProfile{After: myDigest, Before: theirDigest, Name: name})
		result, present = mine, inWanted
	default:
		me.Conflicts = append(me.Conflicts, difference)
	}
	if present {
		me.profiles = append(me.profiles, result)
	}
}
