package sidecar

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

// Events of this package.
var (
	eventStarted = event.Define(1800, log.InfoLevel, "sidecar started",
		"The process started beside an upstream.", "none")
	eventStopping = event.Define(1801, log.InfoLevel, "sidecar stopping",
		"The process received SIGTERM or SIGINT and finishes its requests.", "none")
	eventStopped = event.Define(1802, log.InfoLevel, "sidecar stopped",
		"All requests have finished, or the grace period has ended.", "If requests were cut off, compare the grace period with the routes' timeouts.")
	eventReloaded = event.Define(1803, log.InfoLevel, "settings reloaded",
		"The process received SIGHUP, or the settings file changed. The store is used at the address that the file names.", "If restart_needed is true, restart the process: the other changes have no effect before.")
	eventReloadFailed = event.Define(1804, log.ErrorLevel, "settings not reloaded",
		"The settings file is unreadable or not valid; the earlier settings stay in force.", "Correct the file.")
	eventListenerFailed = event.Define(1805, log.ErrorLevel, "listener failed",
		"A listener ended while the process was running.", "Restart the process; check for a lack of file descriptors.")
	eventStoreDisconnected = event.Define(1810, log.WarnLevel, "store disconnected",
		"Following a table of the store failed.", "Check whether other hosts report the same; if they do, the store is down.")
	eventStoreReconnected = event.Define(1811, log.InfoLevel, "store reconnected",
		"Following a table of the store works again.", "none")
	eventConfig = event.Define(1812, log.InfoLevel, "configuration in force",
		"A newer configuration was read.", "none")
	eventRowInvalid = event.Define(1813, log.WarnLevel, "row ignored",
		"A row of the store cannot be decoded; the row that it replaced stays in force.", "Find out which process wrote the row.")
	eventMember = event.Define(1814, log.InfoLevel, "member changed",
		"Another host was added, changed or removed.", "none")
	eventReaderFailed = event.Define(1815, log.InfoLevel, "reader of the zone failed",
		"The host that reads the fleet for this zone did not respond, or does not read the store itself; this host reads the store.", "none")
	eventFleetReaderFailed = event.Define(1940, log.InfoLevel, "reader of the fleet failed",
		"The host that reads the fleet from the store for all zones did not respond, does not read the store, or does not know whether it has missed changes; this host reads the store for its zone.", "none; if it is repeated for one host, look at that host's connection to the store: event 1810.")
	eventStartedThroughHost = event.Define(1941, log.InfoLevel, "table read from another host at the start",
		"This host has just started and got the rows of a table from a host of its zone instead of the store.", "none")
	eventLeaseShareFailed = event.Define(1942, log.InfoLevel, "reading of the leases not shared",
		"A host that reads the leases of the service did not share its reading; this host reads them from the store itself, and does not ask that host for 10 s.", "none; if it is repeated for one host, look at that host's connection to the store: event 1810.")
	eventMemberRemoved = event.Define(1816, log.InfoLevel, "member row of a host removed",
		"A host of this zone did not respond to several consecutive probes, or its address now belongs to another host; its member row is removed. The host writes the row again if it is running.", "none; if the host is running, look for a partition between it and this host.")
	eventConfigFetched = event.Define(1817, log.InfoLevel, "configuration of another host in force",
		"Another host reported a newer configuration than the store had delivered to this one, and it was fetched from there.", "Find out why the store did not deliver it to this host: events 1810 and 1811.")
	eventConfigFetchFailed = event.Define(1818, log.WarnLevel, "configuration of another host not fetched",
		"Another host reported a newer configuration, which could not be fetched. Other hosts are polled until this one has it.", "See event 1810.")
	eventPeerPollFailed = event.Define(1819, log.DebugLevel, "configuration not compared",
		"Another host was polled for the version of its configuration and did not respond. Another one is polled after a short delay.", "none")
	eventWatchReplaced = event.Define(1824, log.WarnLevel, "watch replaced",
		"The store has changes that the watch of a table did not deliver. They are applied, and the watch is replaced: the store may have lost it.", "none; if it repeats, look for a store that does not answer watches.")
	eventUpstream = event.Define(1820, log.InfoLevel, "upstream changed",
		"The local upstream announced itself, changed, or announced that it leaves.", "none")
	eventStaleHeartbeat = event.Define(1821, log.WarnLevel, "heartbeat ignored",
		"A heartbeat of the upstream arrived that is not newer than the last one. Only a notice in it that the upstream leaves counts.", "none")
	eventUnprovenHeartbeat = event.Define(1852, log.WarnLevel, "heartbeat not acknowledged",
		"A heartbeat of another incarnation than the current one arrived, and nothing shows yet that it is the later one: it started before the last heartbeat of the current one, or the time of day has stepped. It is believed once it goes on sending heartbeats while the current one is silent.", "none; if it repeats for one incarnation, look for two processes at one address.")
	eventNoticeNotWritten = event.Define(1853, log.WarnLevel, "notice of leaving not written",
		"The store did not accept the row of a notice that the upstream leaves. The upstream gets no new requests, but the notice is not acknowledged, because a later process of this router would not know it. The write is retried.", "See event 1810.")
	eventEarlierNotices = event.Define(1854, log.InfoLevel, "notices of leaving read",
		"Earlier processes of this router have acknowledged that incarnations of the upstream leave; they get no requests.", "none")
	eventEarlierNoticesUnknown = event.Define(1855, log.WarnLevel, "notices of leaving unknown",
		"This process could not read which incarnations of the upstream have given notice to earlier ones. Until believed is true, because the incarnation goes on sending heartbeats, they are not acknowledged and the upstream gets no requests.", "See event 1810.")
	eventNoticesRemoved = event.Define(1856, log.InfoLevel, "notices of leaving removed",
		"Notices that a host had kept in the store were removed, or could not be, because the host is no longer known.", "none")
	eventPublishFailed = event.Define(1822, log.WarnLevel, "member row not written",
		"The store did not accept this host's own row; the write is retried.", "See event 1810.")
	eventRouteUnreadable = event.Define(1823, log.WarnLevel, "fields of a route left out",
		"Fields of a route cannot be decoded and are left out; the rest of the configuration comes into force. Without a readable type, requests of the route are not repeated; without readable regions, they are refused.", "Correct the fields in the configuration.")
	eventRateLimit = event.Define(1825, log.InfoLevel, "rate limit of the upstream changed",
		"The local upstream named, changed or no longer names a limit on the requests per second from all hosts. before is the limit that it named last.", "Find out why the upstream is in need; requests above the limit go to other upstreams or are refused.")
	eventSaysLeaving = event.Define(1826, log.InfoLevel, "upstream says that it leaves",
		"A response of the local upstream says that it leaves, whatever its heartbeats say.", "none")
	eventStorePutBack = event.Define(1827, log.WarnLevel, "store put back",
		"A response of the store shows that it was put back to an older copy, so that what was written since is lost. This host reads the tables and writes its row again.", "Write again what operators have written since the copy.")
	eventKeysClaimed = event.Define(1828, log.InfoLevel, "keys claimed",
		"The store was put back to an older copy. This host claims the ranges that it holds by the lease of the era before, so that a new key map can be made.", "If claims is 0, its keys are served again once all earlier leases have ended.")
	eventWithdrawn = event.Define(1829, log.InfoLevel, "upstream withdrew",
		"An incarnation of the local upstream gave notice that it leaves. The notice is acknowledged unless the store did not record it in time (event 1853). If current is false, this process has no heartbeat of that incarnation: the notice is kept for its first one. started is 0 if the notice does not tell it.", "none")
	eventGrant = event.Define(1830, log.DebugLevel, "keys granted",
		"The response to a heartbeat of the upstream granted it keys.", "none")
	eventMapChanged = event.Define(1831, log.InfoLevel, "key map changed",
		"This host changed which upstreams hold which keys.", "If it repeats while no hosts join or leave, check the field why.")
	eventMapFailed = event.Define(1832, log.ErrorLevel, "key map not written",
		"The key map cannot be encoded.", "Report it with the log.")
	eventRenewalFailed = event.Define(1833, log.WarnLevel, "lease not renewed",
		"The store did not accept the renewal. Keys are served until the lease lapses.", "See event 1810.")
	eventLeaseReadFailed = event.Define(1834, log.WarnLevel, "leases not read",
		"The leases of the service's hosts cannot be read; no lease counts as lapsed meanwhile.", "See event 1810.")
	eventRebalance = event.Define(1835, log.InfoLevel, "keys rebalanced",
		"This host moves ranges of keys to other hosts. demand is the load as a share of the upstream's slots, hottest_demand the load of the busiest key in slots.", "If hottest_demand is above the number of slots, no upstream can serve that key: make its requests cheaper or fewer.")
	eventCommandDone = event.Define(1836, log.DebugLevel, "key command completed",
		"The upstream accepted a command that grants it keys, or released keys on command.", "none")
	eventCommandFailed = event.Define(1837, log.InfoLevel, "key command failed",
		"A command that grants keys to the upstream or releases them was refused (result 1), got no response (2) or was not carried out (3). It is retried; keys whose grant got no response move only after the grant has certainly expired.", "If it repeats, check the upstream's log.")
	eventNotifyFailed = event.Define(1838, log.InfoLevel, "new holder not notified",
		"A host that gained keys by a change of this host could not be notified. It learns of them from the store.", "none; if it repeats, look for a partition between the hosts.")
	eventRefused = event.Define(1840, log.InfoLevel, "request refused",
		"The router itself responded to a request of a caller, with an error.", "The fields kind and detail name the cause; see docs/ERRORS.md.")
	eventRetry = event.Define(1841, log.InfoLevel, "retry decided",
		"An attempt failed; the field decision says whether another one follows (0: yes).", "If many have the decision 4, the retry budget is exhausted.")
	eventUpstreamFailed = event.Define(1842, log.InfoLevel, "no usable response of the upstream",
		"The gate sent a request to the local upstream, or tried to, and got no response that may be passed on.", "The field arrived says whether the upstream got the request; search the upstream's own log for its id.")
	eventBrokenResponse = event.Define(1845, log.WarnLevel, "broken response of the upstream",
		"The local upstream answered a request with a head that HTTP/1.1 does not allow, or the body of its response broke off or has a broken end. The connection was closed. If a part of a long body had been passed on, the connection of the caller ended in the middle of the response; otherwise nothing of it was used, and the outcome of the request is unknown.", "Look at the log of the process at the address; the error quotes the line of the head.")
	eventBrokenHop = event.Define(1846, log.WarnLevel, "broken response of another host",
		"Another host answered a request with a head that a router does not send. Nothing of the response was used, the connection was closed, and the outcome of the request is unknown.", "Find out which process listens at the address, and compare the versions of the two routers.")
	eventPanic = event.Define(1843, log.ErrorLevel, "panic in the router",
		"A panic ended one request; the others continue.", "Report it with the log.")
	eventRouted = event.Define(1844, log.InfoLevel, "request routed",
		"A service was chosen for a request of a caller. config is the version in force, config_age_ms the time since it was last known to be the newest in the store. Only some requests are logged: dropped_before counts the others.", "If config_age_ms is above 2000, find out why the store's answers are missing: events 1810 and 1812.")
	eventPipelinedDropped = event.Define(1850, log.InfoLevel, "pipelined request dropped",
		"A connection of a caller ended before a request that it had sent without waiting for earlier responses got its response. The field reason names the side that closed the connection. Or the server of HTTP never came to the request, because it answered one before itself.", "none if the caller closed it or its turn has passed; otherwise look for what ended the request before, with the same time.")
	eventCallerLeft = event.Define(1851, log.InfoLevel, "caller left",
		"A caller closed its connection before it got the response; its request is cancelled.", "none; if it repeats, compare the deadlines of the callers with the field left_ms.")
	eventBudgets = event.Define(1863, log.InfoLevel, "budgets of connections",
		"The process started with these settings. 0 means that there is no bound.", "none")
	eventRegionRefused = event.Define(1870, log.InfoLevel, "request refused because of its region",
		"Another router, or this one, offered the local upstream a request whose route does not allow this region by the configuration in force here. It did not run.", "none; if it repeats for more than 3 s, find out why the sender's configuration is late: event 1812.")
	eventKeyRegions = event.Define(1871, log.WarnLevel, "regions of keys changed",
		"If confined is false, the routes of a keyed service have no region in common with an eligible host, so that its keys may be held anywhere, and requests of restricted routes for keys outside their regions are refused. If it is true, the keys move back into the regions.", "If confined is false, check the hosts in the regions and the allowed regions of the routes.")
	eventZoneEvacuated = event.Define(1873, log.WarnLevel, "zone evacuated",
		"An operator has evacuated an availability zone: its upstreams get no new requests. source is store, or the host whose response said so. own is true on the hosts of the zone.", "none; if it was not intended, remove the row that evacuates the zone.")
	eventZoneTakenBack = event.Define(1874, log.InfoLevel, "zone taken back",
		"The row that evacuated an availability zone is gone; its upstreams take requests again.", "none")
	eventEvacuationKeysHeld = event.Define(1875, log.WarnLevel, "keys not moved out of an evacuated zone",
		"The local upstream still holds ranges of keys after half of evacuation_ms. Their requests are refused until it has released them.", "Check whether hosts of the service outside the zone are ready, and the upstream's log for a release that hangs.")
	eventEvacuationReportInvalid = event.Define(1876, log.WarnLevel, "report of evacuated zones ignored",
		"Another host sent a report of the evacuated zones that cannot be decoded. At most one such report a minute is logged.", "Compare the versions of the two routers.")
	eventCold = event.Define(1877, log.InfoLevel, "upstream is cold",
		"The local upstream is cold, or counts as cold, and gets a bounded number of requests per second until it is warm. stated is true if it said so in a heartbeat; otherwise it has not said how long it stays cold, or there are signs that it has restarted.", "none; if it repeats for one incarnation, find out why the upstream becomes cold again.")
	eventWarm = event.Define(1878, log.InfoLevel, "upstream is warm",
		"The bound on the requests to the cold upstream has ended. The event is logged with the first heartbeat after the end.", "none")
	eventLoadUnreadable = event.Define(1879, log.WarnLevel, "load of the upstream unreadable",
		"A response of the local upstream reports a load that cannot be read, after one that could be read or reported none. It changes nothing.", "Look at the upstream's version: it reports its load in another form.")
	eventLinkFull = event.Define(1880, log.InfoLevel, "no room on the link",
		"A call of another router was refused because its response, of about the given number of bytes, could not be sent in time behind the backlog of this host's link.", "If all hosts of the service report it, the demand exceeds their links: add hosts or wider links, or reduce the downloads.")
	eventLinkNarrow = event.Define(1881, log.WarnLevel, "link narrower than set",
		"Receivers acknowledge less than the link should carry, while more is written. The schedule follows what is carried, as the share of the setting that the line names.", "If it stays, correct link_mbps, or look for other traffic on the link.")
	eventLinkWide = event.Define(1882, log.InfoLevel, "link as wide as set",
		"The link carries about what link_mbps says again.", "none")
	eventLinkMemory = event.Define(1883, log.WarnLevel, "no memory for a large response",
		"A call of another router was refused because the bytes that are held for large responses and bodies have reached their bound.", "Look for callers that read slowly, on hosts whose calls have the caller of the line.")
	eventHedged = event.Define(1885, log.InfoLevel, "request sent a second time",
		"The response of the first host is slower than most of the route, so that the request was sent to a second host as well.", "none; docs/OPERATIONS.md says how to set the limit.")
	eventHedgeEnded = event.Define(1886, log.InfoLevel, "second request ended",
		"A request that was sent a second time has ended there. outcome is won (its response is passed on), cancelled (the first host responded first) or failed (refused, error, or the caller left).", "If most have the outcome failed, lower hedge.max_share: the second hosts have no free slots.")
	eventQuarantined = event.Define(1890, log.WarnLevel, "request in quarantine",
		"Requests with the fingerprint were in progress at the crashes of upstreams on the hosts and have completed nowhere since. They are refused, apart from trials. Each host logs it once it has seen such a request itself.", "Find out why the service's upstreams crash at the path. A repaired release is found out by the next trial.")
	eventQuarantineEnded = event.Define(1891, log.InfoLevel, "request left the quarantine",
		"A request with the fingerprint has completed, or another one explains the crashes. Such requests are served again.", "none")
	eventCrash = event.Define(1892, log.WarnLevel, "upstream crashed",
		"The process of the local upstream ended without a notice while the given number of requests was in progress. They are suspects until they complete.", "Look at the upstream's log. Event 1890 names the request if one recurs.")
	eventSuspectsInvalid = event.Define(1893, log.WarnLevel, "report of suspects ignored",
		"Another host sent a report of suspects that cannot be decoded. At most one such report a minute is logged.", "Compare the versions of the two routers.")
	eventTrial = event.Define(1894, log.InfoLevel, "trial of a quarantined request",
		"The local upstream gets one quarantined request, to find out whether it still crashes.", "none")
	eventGrantMissing = event.Define(1895, log.InfoLevel, "request waited in vain for the grant of its key",
		"The key map names the local upstream as the new holder of a key, and the grant did not reach it in time, or became obsolete meanwhile. The request was not run.", "If it repeats, look for late heartbeats of the upstream, or for event 1837 where keys are granted by commands.")
	eventLargeResponseCrosses = event.Define(1920, log.InfoLevel, "large response from another region",
		"A request whose response is expected to be large was offered to a host of another region, because no host of this one could take it and that one has spare capacity, or no host of this region responds.", "If it is frequent, add hosts of the service, or wider links, in this region.")
	eventAskedHostAvoided = event.Define(1910, log.InfoLevel, "host not asked for confirmations",
		"A host that this one asks whether the configuration is the newest did not respond in time (outcome failed), or had not confirmed its own configuration for too long (outcome stale). For the given time the next host is asked instead, or this host checks with the store itself.", "none; if it is repeated for one host, look at that host's connection to the store: event 1810.")
	eventCompetition = event.Define(1900, log.InfoLevel, "callers compete for the upstream",
		"Requests were refused for lack of room and told when to return. The line counts the reservations since the last one (made, kept, missed, lost), the refusals without one by reason, and the final refusals by how the request had come; docs/OPERATIONS.md explains the names. At most one line is logged in 10 s.", "If it lasts for minutes, add upstreams, or look for a hot key (event 1835).")
	eventRunsLimited = event.Define(1905, log.WarnLevel, "requests limited because of their calls",
		"At least half of the calls that running requests of the local upstream make to the service were refused. New requests of routes that call it are admitted only as far as their calls are served, and others are refused.", "Find out why the service refuses calls: it is overloaded, or cannot be reached.")
	eventRunsUnlimited = event.Define(1906, log.InfoLevel, "requests no longer limited because of their calls",
		"Most calls to the service are served again, and its limit has refused no request for 1 s.", "none")
	eventExplained = event.Define(1915, log.InfoLevel, "decision explained",
		"The control listener was asked where a request would be sent. Nothing was sent. kind is that of the refusal, or empty.", "none; if remote is not known, restrict who reaches the control listener, or set explain.enabled to false.")
	eventExplainFailed = event.Define(1916, log.ErrorLevel, "explanation failed",
		"A panic ended an explanation; requests are not affected.", "Report it with the log.")
	eventNotRepeated = event.Define(1896, log.InfoLevel, "lost request not sent again",
		"A repeatable request was in progress at the crash of an upstream and was not sent to another host, because it may have caused the crash. Its caller got an error that says that it may have run.", "Look for event 1890, which names the request that crashes upstreams. If it does not follow, compare the paths of the lost requests with the upstream's log.")
)
