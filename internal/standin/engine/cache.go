package engine

import (
	"container/list"
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// keptEvents bounds the cache events that an engine still shows.
const keptEvents = 4096

// cache is the prefix cache: the number of cached tokens of each chat, least recently used first out.
type cache struct {
	limit chestnutroad.Tokens

	mu     sync.Mutex
	total  chestnutroad.Tokens
	chats  map[string]*list.Element
	recent *list.List
	last   uint64
	events []cacheChange
}

type cachedChat struct {
	chat   string
	tokens chestnutroad.Tokens
}

type cacheChange struct {
	sequence uint64
	at       time.Time
	cachedChat
}

func newCache(limit chestnutroad.Tokens) *cache {
	return &cache{limit: limit, chats: make(map[string]*list.Element), recent: list.New()}
}

// lookup returns how many tokens of the chat's prompt are cached.
func (ca *cache) lookup(chat string, prompt chestnutroad.Tokens) chestnutroad.Tokens {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	element, known := ca.chats[chat]
	if !known {
		return 0
	}
	ca.recent.MoveToBack(element)
	return min(prompt, entry(element).tokens)
}

// store records the chat's context after an answer, and evicts others to make room.
func (ca *cache) store(chat string, tokens chestnutroad.Tokens) {
	if chat == "" || tokens > ca.limit {
		return
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.remove(chat)
	for ca.total+tokens > ca.limit {
		oldest := entry(ca.recent.Front()).chat
		ca.remove(oldest)
		ca.note(cachedChat{chat: oldest})
	}
	added := cachedChat{chat: chat, tokens: tokens}
	ca.chats[chat] = ca.recent.PushBack(&added)
	ca.total += tokens
	ca.note(added)
}

func (ca *cache) remove(chat string) {
	element, known := ca.chats[chat]
	if !known {
		return
	}
	ca.total -= entry(element).tokens
	ca.recent.Remove(element)
	delete(ca.chats, chat)
}

func (ca *cache) note(changed cachedChat) {
	ca.last++
	ca.events = append(ca.events, cacheChange{sequence: ca.last, at: time.Now(), cachedChat: changed})
	if len(ca.events) > keptEvents {
		ca.events = ca.events[1:]
	}
}

// changes returns the changes after the sequence number that are old enough, without each gap-th one.
func (ca *cache) changes(after uint64, age time.Duration, gap int) []cacheChange {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	limit := time.Now().Add(-age)
	var shown []cacheChange
	for _, change := range ca.events {
		if change.sequence <= after || change.at.After(limit) {
			continue
		}
		if gap > 0 && change.sequence%uint64(gap) == 0 {
			continue
		}
		shown = append(shown, change)
	}
	return shown
}

func entry(element *list.Element) *cachedChat {
	cached, ok := element.Value.(*cachedChat)
	if !ok {
		return new(cachedChat)
	}
	return cached
}
