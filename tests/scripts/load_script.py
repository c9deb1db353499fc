"""Loads a script of the project as a module. The scripts have no .py extension, so `import` cannot load them."""
import importlib.machinery
import importlib.util
import pathlib

SCRIPTS = pathlib.Path(__file__).resolve().parent.parent.parent / "scripts"


def load_script(name):
    loader = importlib.machinery.SourceFileLoader(name.replace("-", "_"), str(SCRIPTS / name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(loader.name, loader))
    loader.exec_module(module)
    return module
