package platform

import chestnutroad "github.com/chestnutroad/chestnutroad"

// AppendRequest is the body of POST /streams/{stream}/records, which appends a record.
type AppendRequest struct {
	Data []byte
}

// AppendResponse is the answer to an AppendRequest, with the offset of the new record.
type AppendResponse struct {
	Offset chestnutroad.Offset
}

// HostsResponse is the answer to GET /hosts.
type HostsResponse struct {
	Hosts []chestnutroad.ListedHost
}
