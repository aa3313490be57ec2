# All the set-up that a fresh machine needs is done here: Python 3.11 or newer with venv, and a package index.
PYTHON ?= python3
VENV := .venv-dev

.PHONY: demo test check measure clean
$(VENV)/.done: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[agent,lab,dev]'
	touch $@

demo: $(VENV)/.done  ## an agent, three forwarders and partners, rolled under load and judged
	$(VENV)/bin/juniperward demo

test: $(VENV)/.done  ## all tests
	$(VENV)/bin/pytest -q

check: $(VENV)/.done  ## what CI runs beside the tests
	@! git ls-files | grep -E '\.(orig|rej)$$' || (echo 'left-overs of a merge are tracked' >&2; exit 1)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

clean:
	rm -rf $(VENV)
