// Package token seals the log positions that a session has observed into an encrypted token, and the location of an interactive
// transaction into its identifier. Callers send them back, so that any entry VM can use them and none has to store them.
package token
