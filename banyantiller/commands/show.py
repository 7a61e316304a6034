"""`banyantiller show`: shows a bundle."""

import datetime
from typing import Any

import yaml

from banyantiller.bundle import plain
from banyantiller.bundle.options import Bundle
from banyantiller.commands import context, output, references
from banyantiller.commands.references import Named


def show(
    bundle: str = references.IN_FORCE,
    *,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Shows the accepted bundle, an earlier version or a proposal.

    The text is a bundle file with its origin as comments; options at their
    default are left out.

    Args:
        bundle: "accepted", a version, or the start of a digest.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        named = await references.find(session, bundle)
        content = await references.content(session, named.manifest)
        output.emit(json, _data(named, content), _lines(named, content))
        return 0

    return context.run(settings, body)


def _data(named: Named, content: Bundle) -> dict[str, Any]:
    manifest = named.manifest
    return {
        "digest": named.digest,
        "version": manifest.version,
        "parent": manifest.parent,
        "proposer": manifest.proposer,
        "signatures": [plain.to_plain(item) for item in named.signatures],
        "accepted_at": named.accepted_at,
        "roller": named.roller,
        "bundle": plain.to_plain(content),
    }


def _lines(named: Named, content: Bundle) -> list[str]:
    manifest = named.manifest
    lines = [
        f"# version {manifest.version} {named.digest}",
        f"# proposed by {manifest.proposer}",
    ]
    lines += [
        f"# signed by {item.operator}"
        for item in named.signatures
        if item.role == "sign"
    ]
    if named.accepted_at is not None:
        when = datetime.datetime.fromtimestamp(named.accepted_at, datetime.UTC)
        lines.append(f"# rolled by {named.roller} at {when:%Y-%m-%d %H:%M:%S}Z")
    text = yaml.safe_dump(
        plain.to_plain(content), sort_keys=False, allow_unicode=True
    )
    return lines + text.splitlines()
