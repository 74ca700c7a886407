VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench slopes proto soak regression

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[test]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m tamaracktray_emulator.main demo $(if $(KEEP),--keep)

test: $(STAMP)
	$(PYTHON) -m pytest

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: $(STAMP)
	$(PYTHON) -m tamaracktray_emulator.main bench

slopes: $(STAMP)
	$(PYTHON) -m tamaracktray_emulator.main slopes

soak: $(STAMP)
	$(PYTHON) -m tamaracktray_emulator.main soak --seed $(or $(SEED),1) \
		--count $(or $(COUNT),1)

proto: $(STAMP)
	$(PYTHON) -m grpc_tools.protoc -I src --python_out=src --grpc_python_out=src \
		src/tamaracktray/control.proto

# Needs FLEETBENCH, the users' bench, and SITES, the folder with their site files.
regression:
	@test -n "$(FLEETBENCH)" -a -d "$(SITES)" || \
		{ echo "set FLEETBENCH and SITES" >&2; exit 2; }
	@for site in $$(grep -v '^#' bench/regression.txt); do \
		$(FLEETBENCH) score $$(find "$(SITES)" -name "$$site.toml") \
			--jobs $(or $(JOBS),3) || exit 1; \
	done
