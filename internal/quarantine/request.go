package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

// Request holds the features of a request for which it may be suspected of crashing targets.
type Request struct {
	// Parts are the prompt's parts; the last one, which no other request has, is never suspected.
	Parts []chestnutroad.PromptPart
	// Fingerprint identifies the request as a whole, see NewFingerprint; zero when it is not known.
	Fingerprint chestnutroad.SubjectHash
}

// NewFingerprint returns the fingerprint of the requests with the same team, path with query, and body.
func NewFingerprint(team chestnutroad.TeamID, uri string, body []byte) chestnutroad.SubjectHash {
	digest := xxhash.New()
	// The lengths keep different fields from adding up to the same text. Writes to a digest don't fail.
	_, _ = fmt.Fprintf(digest, "request/%d/%s/%d/%s/", len(team), team, len(uri), uri)
	_, _ = digest.Write(body)
	return chestnutroad.SubjectHash(digest.Sum64()) | 1
}

// feature is a feature of a request under which evidence is kept.
type feature struct {
	hash chestnutroad.SubjectHash
	// name is the id of a prompt part, and empty for the whole request.
	name string
}

// features returns the features of a request, the whole request first.
func (rq *Request) features() []feature {
	shared := rq.Parts[:max(0, len(rq.Parts)-1)]
	features := make([]feature, 0, len(shared)+1)
	if rq.Fingerprint != 0 {
		features = append(features, feature{hash: rq.Fingerprint})
	}
	for _, part := range shared {
		features = append(features, feature{hash: chestnutroad.PartSubject(part.ID), name: part.ID})
	}
	return features
}
