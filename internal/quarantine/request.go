package quarantine

import "github.com/chestnutroad/chestnutroad"

// Request holds the features of a request for which it may be suspected of crashing targets.
type Request struct {
	// Parts are the prompt's parts; the last one, which no other request has, is never suspected.
	Parts []chestnutroad.PromptPart
}

// feature is a feature of a request under which evidence is kept.
type feature struct {
	hash chestnutroad.SubjectHash
	// name is the id of a prompt part.
	name string
}

// features returns the features of a request.
func (rq *Request) features() []feature {
	shared := rq.Parts[:max(0, len(rq.Parts)-1)]
	features := make([]feature, 0, len(shared))
	for _, part := range shared {
		features = append(features, feature{hash: chestnutroad.SubjectHash(chestnutroad.HashID(part.ID)), name: part.ID})
	}
	return features
}
