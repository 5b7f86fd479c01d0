chestnutroad timeline testdata/input/b.jsonl testdata/input/a.jsonl
chestnutroad timeline --request r-1 testdata/input/a.jsonl testdata/input/b.jsonl
chestnutroad timeline --target engine-1 --json testdata/input/a.jsonl testdata/input/b.jsonl
chestnutroad timeline --version 7 testdata/input/a.jsonl
chestnutroad timeline testdata/input/a.jsonl testdata/input/none.jsonl
