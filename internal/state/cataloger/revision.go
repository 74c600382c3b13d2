package cataloger

// eraShift is the number of low bits of a revision that number the changes
// within one era of the store.
const eraShift = 40

// Revision returns the revision that orders the changes of a store across its
// eras. A store that comes back from an older copy begins a new era and issues
// the numbers of lost changes again; every revision of the new era is higher
// than those of the earlier ones.
func Revision(era, number uint64) uint64 {
	return era<<eraShift | number
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 {
	return revision >> eraShift
}

// ChangeNumber returns the number that the store itself gave to a revision.
func ChangeNumber(revision uint64) uint64 {
	return revision & (1<<eraShift - 1)
}
