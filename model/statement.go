package model

// Statement is one statement of a caller; its text is opaque to the proxy.
type Statement struct {
	Write     bool
	Text      string
	Arguments []string
}

// AnyWrite reports whether one of the statements writes.
func AnyWrite(statements []Statement) bool {
	for _, s := range statements {
		if s.Write {
			return true
		}
	}
	return false
}
