package quota_test

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/quota"
)

// A program that limits a rate over several processes embeds a bucket in one of them and a purse in each.
func Example() {
	now := time.Unix(0, 0)
	bucket := quota.NewBucket(quota.Limit{Rate: 100, Burst: 40}, now)

	// A new bucket starts empty and refills with the time that passes.
	now = now.Add(time.Second)
	grant := bucket.Grant(now, "grant-1", 2)

	var purse quota.TokenCache
	purse.Receive(now, now, grant, 0)
	for range 3 {
		fmt.Println(purse.Take(now))
	}
	// A granted token can be spent only for a while.
	purse.Receive(now, now, bucket.Grant(now, "grant-2", 1), 0)
	fmt.Println(purse.Take(now.Add(grant.TTL)))
	// Output:
	// true
	// true
	// false
	// false
}
