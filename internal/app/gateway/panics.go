package gateway

// Where panics occur on goroutines of the router's own, in log lines and metrics. Such work recovers if
// it holds no lock and owns no control state: one probe or call that fails must not end the process
// with all requests that it holds.
const (
	whereProbe        = "probe"
	wherePathCheck    = "path_check"
	whereStore        = "store"
	whereCopy         = "copy"
	whereRouterList   = "router_list"
	whereSuspects     = "suspects"
	whereStreamLookup = "stream_lookup"
)
