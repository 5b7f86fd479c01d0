chestnutroad platform check testdata/input/config-41.json
chestnutroad platform check testdata/input/config-42.json
chestnutroad platform check --in-force testdata/input/config-41.json testdata/input/config-42.json
chestnutroad platform check --in-force testdata/input/config-42.json testdata/input/config-41.json
chestnutroad platform check testdata/input/config-faulty.json
chestnutroad platform check testdata/input/base.toml
chestnutroad platform check testdata/input/none.json
chestnutroad platform check --in-force testdata/input/none.json testdata/input/config-41.json
chestnutroad platform check
