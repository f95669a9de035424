// Package quota implements a distributed token bucket: one process grants the tokens of a rate limit, and many VMs spend them.
//
// In every time window w, all VMs together admit at most Burst + Rate·w requests.
package quota
