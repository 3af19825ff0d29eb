package main

import "fmt"

// settings returns the settings of a small deployment with the classes of the first site: one restartable, one keyed
// and one run-once.
func settings(binds int) string {
	return fmt.Sprintf(`{"balancers":1,"ordinal":0,"zones":["z"],"kinds":["small"],"discovery":"subscribe",
 "contract":{"answer_slack_ns":8000000,"ask_within_ns":10000000000,"cold_from":0.28,"cold_ns":17000000000,
  "overload_factor":3.0,"overload_for_ns":2000000000,"stop_sending_within_ns":250000000},
 "report":{"fields":["x0","x1","backlog"],"source":"inline"},
 "permissions":{"most_tries":%d,"probes":true,"connect_timeout_ns":250000000,"keepalive_ns":30000000000,
  "may_cancel":true,"may_duplicate":false,"retry_after":false,"peers":false,"max_open":1000000},
 "request_classes":[
  {"name":"tiles","aim_ns":1000000000,"deadline_ns":6000000000,"effect":"read_like","dedup_scope":"all",
   "window_ns":5000000000,"stays":true,"value":1.0},
  {"name":"check","aim_ns":700000000,"deadline_ns":6000000000,"effect":"idempotency_key","dedup_scope":"all",
   "window_ns":5000000000,"stays":true,"value":5.0},
  {"name":"trace","aim_ns":5500000000,"deadline_ns":10000000000,"effect":"non_idempotent","dedup_scope":"all",
   "window_ns":5000000000,"stays":true,"value":5.0}],
 "family_info":{"cold_bears":54.0,"confirms":"running","report_counts":"used","free_in_list":true,"use_notes":false,
  "check_after_ns":3000000000,"kind_cores":[60],"memory_by_kind":[120.0],"apart_by":["off","off","off"],
  "spread_most":[2,2,2],"calm_level":[0.8,0.8,0.8],"lost_after":[0.15,0.15,0.15],"kind_by_class":[-1,-1,-1]}}`, binds)
}
