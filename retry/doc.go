// Package retry limits how often and how soon a request is retried.
package retry
