chestnutroad confg
chestnutroad config
chestnutroad config chek
chestnutroad config check
chestnutroad config show testdata/input/base.toml
chestnutroad status localhost:9000
chestnutroad timeline --since x testdata/input/a.jsonl
