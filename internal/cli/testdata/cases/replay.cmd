chestnutroad replay --settings testdata/input/base.toml testdata/input/north.toml --trace testdata/input/trace.jsonl --policy Owner,Random
chestnutroad replay --settings testdata/input/base.toml testdata/input/north.toml --trace testdata/input/trace.jsonl --policy Owner --seed 3 --json
chestnutroad replay --settings testdata/input/base.toml --trace testdata/input/trace.jsonl --policy Best
chestnutroad replay --settings testdata/input/base.toml --trace testdata/input/faulty.jsonl
chestnutroad replay --settings testdata/input/base.toml --trace testdata/input/missing.jsonl
chestnutroad trace generate --user nobody
chestnutroad help trace generate
