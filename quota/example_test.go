package quota_test

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/quota"
)

// A program that limits a rate over several processes embeds a bucket in one of them and a token cache in each.
func Example() {
	now := time.Unix(0, 0)
	bucket := quota.NewBucket(quota.Limit{Rate: 100, Burst: 40}, now)

	// A new bucket starts empty and refills with the time that passes.
	now = now.Add(time.Second)
	grant := bucket.Grant(now, "grant-1", 2)

	var cache quota.TokenCache
	cache.Receive(now, now, grant, 0)
	for range 3 {
		fmt.Println(cache.Take(now))
	}
	// A granted token can be spent only for a while.
	cache.Receive(now, now, bucket.Grant(now, "grant-2", 1), 0)
	fmt.Println(cache.Take(now.Add(grant.TTL)))
	// Output:
	// true
	// true
	// false
	// false
}
