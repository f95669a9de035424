// Package limit admits requests within the rates of teams and routes, which hold for all VMs together.
// Each VM spends tokens that it requests from the processes that hold the buckets.
package limit
