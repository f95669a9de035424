package audit

// Exit statuses of a program that checks settings, besides 0 for settings without errors.
const (
	// StatusErrors means that errors were found.
	StatusErrors = 1
	// StatusUnreadable means that a file cannot be read or parsed.
	StatusUnreadable = 2
)

// Failure is an error with which a program that checks settings ends. Err is nil if what was found is reported already.
type Failure struct {
	Status int
	Err    error
}

// Error returns the text of the error, or "" if it is reported already.
func (f *Failure) Error() string {
	if f.Err == nil {
		return ""
	}
	return f.Err.Error()
}

// Unwrap returns the error that is not reported yet.
func (f *Failure) Unwrap() error { return f.Err }

// ExitCode returns the exit status of the program.
func (f *Failure) ExitCode() int { return f.Status }
