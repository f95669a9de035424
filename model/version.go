package model

const (
	// eraShift is the number of bits of a version that hold the store's counter; the bits above hold the era.
	eraShift = 40
	// MaxEra is the highest era of a version.
	MaxEra = 1<<(62-eraShift) - 1
	// MaxCount is the highest count of a version.
	MaxCount = 1<<eraShift - 1
)

// VersionIn returns the version for a count of the store's counter in an era. The counter goes back when the store comes back from an older copy, and
// the era rises then, so that a version is higher than all of earlier eras.
func VersionIn(era, count int64) int64 { return era<<eraShift | count }

// EraOf returns the era of a version; it is 0 for version 0, which no row has.
func EraOf(version int64) int64 { return version >> eraShift }

// CountOf returns the count of the store's counter at a version.
func CountOf(version int64) int64 { return version & MaxCount }
