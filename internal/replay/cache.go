package replay

import (
	"container/list"

	"github.com/chestnutroad/chestnutroad"
)

// prefixCache is a least recently used cache of chat contexts with a limit in tokens.
type prefixCache struct {
	limit   chestnutroad.Tokens
	size    chestnutroad.Tokens
	entries map[chestnutroad.ChatID]*list.Element
	lru     *list.List // of cachedChat, most recently used first
}

type cachedChat struct {
	chat   chestnutroad.ChatID
	tokens chestnutroad.Tokens
}

func newPrefixCache(limit chestnutroad.Tokens) *prefixCache {
	return &prefixCache{limit: limit, entries: map[chestnutroad.ChatID]*list.Element{}, lru: list.New()}
}

// get returns the number of cached tokens of the chat and marks it as most recently used.
func (pc *prefixCache) get(chat chestnutroad.ChatID) chestnutroad.Tokens {
	el := pc.entries[chat]
	if el == nil {
		return 0
	}
	pc.lru.MoveToFront(el)
	return el.Value.(cachedChat).tokens
}

// put replaces the chat's context and returns the chats that were evicted, which include the chat itself if its context
// exceeds the limit.
func (pc *prefixCache) put(chat chestnutroad.ChatID, tokens chestnutroad.Tokens) []chestnutroad.ChatID {
	if el := pc.entries[chat]; el != nil {
		pc.remove(el)
	}
	pc.entries[chat] = pc.lru.PushFront(cachedChat{chat, tokens})
	pc.size += tokens
	var evicted []chestnutroad.ChatID
	for pc.size > pc.limit {
		oldest := pc.lru.Back()
		evicted = append(evicted, oldest.Value.(cachedChat).chat)
		pc.remove(oldest)
	}
	return evicted
}

func (pc *prefixCache) remove(el *list.Element) {
	entry := pc.lru.Remove(el).(cachedChat)
	delete(pc.entries, entry.chat)
	pc.size -= entry.tokens
}
