// Package secret issues and verifies the API keys of callers. Only salted hashes of their secrets are stored.
package secret
