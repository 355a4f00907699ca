package connlimit

const (
	// MinMemoryMB is what a process without traffic takes at most, and MaxMemoryMB keeps the
	// number of bytes far from overflow.
	MinMemoryMB = 32
	MaxMemoryMB = 1 << 24
	// MinFiles leaves 100 descriptors beside those that are kept for files.
	MinFiles = 300
)

// ValidMemoryMB reports whether a host may be set to have this memory in MB. 0 stands for no
// bound.
func ValidMemoryMB(mb float64) bool {
	return mb == 0 || (mb >= MinMemoryMB && mb <= MaxMemoryMB) // false for NaN
}

// ValidFiles reports whether a process may be set to have this number of file descriptors. 0
// stands for no bound.
func ValidFiles(n int) bool {
	return n == 0 || n >= MinFiles
}
