// Package logs writes structured log lines without ever blocking the caller; lines that a slow output cannot take are dropped and counted.
package logs
