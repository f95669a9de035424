// Package remote runs statements on connections that another VM of the failure domain owns, because instances take too few connections
// for every VM to have its own.
package remote
