//go:build !race

package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
)

var _ = Describe("many routers: without a store outage", func() { storeStaysReachable(62) })

var _ = Describe("many routers: a store outage", func() {
	It("is reported by each of 62 routers until after its end", func() { storeOutage(62) })
	It("is reported by each of 195 routers until after its end", func() { storeOutage(195) })
})
