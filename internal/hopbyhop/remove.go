package hopbyhop

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers of RFC 9110, section 7.6.1, and those that older programs send.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Remove deletes the hop-by-hop headers, including those that the Connection header lists.
func Remove(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
