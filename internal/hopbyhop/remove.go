package hopbyhop

import (
	"net/http"
	"strings"
)

// names are the headers of RFC 9110, section 7.6.1, with those that older programs send.
var names = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Remove deletes the headers that concern one connection only, those that Connection names included.
func Remove(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		header.Del(name)
	}
}
