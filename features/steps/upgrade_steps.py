"""Steps that run builds side by side and compare the formats of what they exchange."""

import asyncio
import dataclasses
from typing import Any

from behave import given, then, when

from features.upgrades import Upgrade, check_out
from fescuequay_core.relay import formats
from fescuequay_core.relay.history import Difference, History, digest_of
from fescuequay_core.relay.model import MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, Role, ServiceId, TargetId

_MEMBERS = {
    InstanceId(name): MemberRecord(InstanceId(name), '', f'{name}:1', 'north', reads=formats.READS) for name in 'abc'
}
_TARGETS = {
    TargetId(name): TargetDescription(TargetId(name), 1, ServiceId('s'), f'{name}:2', 'north', False, Role.REPLICA)
    for name in 'abc'
}
_FIRST = {'instances': (_MEMBERS, formats.MEMBER_FORMATS[0]), 'targets': (_TARGETS, formats.TARGET_FORMATS[0])}


@given('a checkout of the earlier build {commit}')
def step_checkout(context: Any, commit: str) -> None:
    context.checkout = check_out(commit)
    if context.checkout is None:
        context.scenario.skip(f'commit {commit} is not in the history of this checkout')


@when('three processes of it are replaced one by one with the present build, and back')
def step_roll(context: Any) -> None:
    context.soak = Upgrade(context.checkout, 3)
    asyncio.run(context.soak.run())


@then('no guarantee was violated by the builds together')
def step_guarantees(context: Any) -> None:
    history = context.soak.history
    assert not history.violations, (history.violations, context.soak.folder)


@then('every build read what the others sent and wrote')
def step_readable(context: Any) -> None:
    assert not context.soak.unreadable(), context.soak.unreadable()[:3]


@then('both builds coordinated instances of the other')
def step_coordinators(context: Any) -> None:
    mixed = {build for build, builds in context.soak.coordinators if builds == 2}
    assert mixed == {'earlier', 'present'}, context.soak.coordinators


@then('the digest of a known list of {items} in the first format is {digest}')
def step_digest(context: Any, items: str, digest: str) -> None:
    known, fields = _FIRST[items]
    assert digest_of(known, fields) == digest, digest_of(known, fields)


@given('a list of instances that a reader of each format knows')
def step_known(context: Any) -> None:
    context.history = History(formats.MEMBER_FORMATS)
    context.members = dict(_MEMBERS)
    _record(context)


def _record(context: Any) -> None:
    context.history.record(context.members)


def _since(context: Any, reads: int) -> Difference[MemberRecord] | None:
    difference: Difference[MemberRecord] | None = context.history.since(context.known[reads])
    return difference


def _change(context: Any, **fields: Any) -> None:
    context.known = {reads: context.history.digest_for(reads) for reads in (1, formats.READS)}
    name = InstanceId('b')
    context.members = {**context.members, name: dataclasses.replace(context.members[name], **fields)}
    _record(context)


@when('a field of the present format changes for one instance')
def step_present_field(context: Any) -> None:
    _change(context, reads=formats.READS + 1)


@when('the address of one instance changes')
def step_address(context: Any) -> None:
    _change(context, address='b:9')


@then('the reader of the first format is sent nothing')
def step_nothing_sent(context: Any) -> None:
    assert _since(context, 1) is None


@then('the reader of the present format is sent that instance')
def step_present_sent(context: Any) -> None:
    difference = _since(context, formats.READS)
    assert difference == Difference(is_whole=False, changed=(context.members['b'],), removed=()), difference


@then('each reader is sent that instance')
def step_each_sent(context: Any) -> None:
    for reads in (1, formats.READS):
        difference = _since(context, reads)
        assert difference == Difference(is_whole=False, changed=(context.members['b'],), removed=()), difference


@then("a reader that knows it without the present format's fields is sent a whole list once in the present format")
def step_dropped(context: Any) -> None:
    reader: History[InstanceId, MemberRecord] = History(formats.MEMBER_FORMATS)
    reader.record({name: dataclasses.replace(member, reads=1) for name, member in context.members.items()})
    assert context.history.since(reader.digest_for(1)) is None
    difference = context.history.since(reader.digest_for(formats.READS))
    assert difference is not None and difference.is_whole, difference
    reader.record({member.instance: member for member in difference.changed})
    assert context.history.since(reader.digest_for(formats.READS)) is None
