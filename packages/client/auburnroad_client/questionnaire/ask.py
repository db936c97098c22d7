"""Asks the questions of the questionnaire at the terminal.

Each answer is checked against the limits of its type. At the end all answers
are checked like a file, and those with mistakes are asked again.
"""

import re
import sys
import typing

import msgspec

from auburnroad_client import exit_codes
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import files
from auburnroad_client.questionnaire import questions
from auburnroad_core import errors
from auburnroad_core.settings import check
from auburnroad_core.settings import source

Plain = typing.Any
KnownNames = dict[str, list[str]]

YES = ('y', 'yes', 'true')
NO = ('n', 'no', 'false')

# Descriptions of the patterns of answers.py, by a part unique to each.
PATTERN_DESCRIPTIONS = {
    '[a-z0-9-]': "a name of lower-case letters, digits and '-'",
    ':[0-9]{1,5}': 'an address such as 127.0.0.1:7400',
    '[0-9]{1,3}': 'an IP number such as 127.0.0.1',
}


class Terminal:
    """Reads answers from standard input and asks on standard error."""

    __slots__ = ()

    def say(self, text: str) -> None:
        """Show a line."""
        print(text, file=sys.stderr, flush=True)

    def ask(self, prompt: str) -> str:
        """Show a prompt and read one line.

        Raises:
          BadInputError: If the input has ended.
        """
        print(prompt, end='', file=sys.stderr, flush=True)
        line = sys.stdin.readline()
        if not line:
            raise exit_codes.BadInputError(
                'input ended before the last question; nothing was written',
                'answer all questions, or use --answers FILE',
            )
        return line.strip()


def ask_answers(
    terminal: Terminal, defaults: answer_types.Answers | None
) -> answer_types.Answers:
    """Ask all questions.

    Args:
      terminal: Terminal for questions and answers.
      defaults: Answers that are offered as defaults, or None.

    Returns:
      Checked answers.

    Raises:
      BadInputError: If the input ends before the last question.
    """
    terminal.say('Press return to accept the answer in brackets.')
    questioner = _Questioner(terminal)
    offered = {} if defaults is None else msgspec.to_builtins(defaults)
    plain = questioner.ask_struct(answer_types.Answers, offered)
    while True:
        answers, records = _check_answers(plain)
        if not records:
            return answers
        for record in records:
            terminal.say(f'  {record}')
        for path in _list_paths(records):
            questioner.ask_again(plain, path)


def _check_answers(
    plain: Plain,
) -> tuple[answer_types.Answers | None, list[errors.ErrorRecord]]:
    """Check plain answers like an answers file."""
    typed = msgspec.convert(plain, answer_types.Answers)
    text = files.build_answers_file(typed)
    document, records = source.parse_text(text, files.ANSWERS_NAME)
    if records:
        return None, records
    return check.check_document(document, answer_types.Answers)


def _list_paths(records: list[errors.ErrorRecord]) -> list[source.Path]:
    """List the paths of the fields to ask again, without duplicates."""
    paths = []
    for record in records:
        parts = re.findall(r'[^.\[\]]+', record.field)
        path = tuple(int(p) if p.isdigit() else p for p in parts)
        if path not in paths:
            paths.append(path)
    return paths


class _Questioner:
    """Asks questions by type and records the names given so far."""

    __slots__ = ('_terminal', '_known_names')

    def __init__(self, terminal: Terminal):
        self._terminal = terminal
        self._known_names: KnownNames = {'failure domain': [], 'service': []}

    def ask_struct(self, shape: type, offered: Plain) -> Plain:
        """Ask the questions of a struct."""
        given = {}
        for question in questions.list_questions(shape):
            if question.only_kind in ('', given.get('kind')):
                given[question.field] = self.ask_question(
                    question, _find_default(question, offered)
                )
        self._add_known_names(shape, given)
        return given

    def ask_question(self, question: questions.Question, offered: Plain):
        """Ask a question, or all questions of its struct or list."""
        shape = questions.strip_annotation(question.kind)
        if isinstance(shape, type) and issubclass(shape, msgspec.Struct):
            self._terminal.say(f'\n{question.text}')
            return self.ask_struct(shape, offered or {})
        member = questions.find_member(shape)
        if isinstance(member, type) and issubclass(member, msgspec.Struct):
            return self._ask_list(question, member, offered or [])
        return self._ask_value(question, offered)

    def ask_again(self, plain: Plain, path: source.Path) -> None:
        """Ask the question at a path again and replace its answer in place."""
        shape = answer_types.Answers
        parent, question = None, None
        for part in path:
            if isinstance(part, int):
                if not isinstance(plain[part], dict):
                    break
                plain = plain[part]
                continue
            found = {q.field: q for q in questions.list_questions(shape)}
            parent, question = plain, found[part]
            plain = plain.get(part)
            inner = questions.strip_annotation(question.kind)
            shape = questions.find_member(inner) or inner
        parent[question.field] = self.ask_question(
            question, parent.get(question.field)
        )

    def _ask_list(self, question, member, offered) -> list[Plain]:
        title = re.sub('(?<!^)([A-Z])', r' \1', member.__name__).capitalize()
        count = self._ask_count(question, len(offered))
        items = []
        for index in range(count):
            self._terminal.say(f'\n{title} {index + 1} of {count}')
            default = offered[index] if index < len(offered) else {}
            items.append(self.ask_struct(member, default))
        return items

    def _ask_count(self, question, offered: int) -> int:
        least = 0 if question.default == [] else 1
        self._terminal.say(f'\n{question.text}')
        while True:
            text = self._terminal.ask(f'How many? [{offered or least}] ')
            if not text:
                return offered or least
            if text.isdigit() and int(text) >= least:
                return int(text)
            self._terminal.say(f'  enter a number of {least} or more')

    def _ask_value(self, question: questions.Question, offered: Plain):
        prompt = self._build_prompt(question, offered)
        while True:
            text = self._terminal.ask(prompt)
            if not text and offered is not None:
                return offered
            try:
                value = _parse_answer(question, text)
                self._check_known(question, value)
                return value
            except ValueError as error:
                self._terminal.say(f'  {error}')

    def _build_prompt(self, question, offered) -> str:
        known = self._known_names.get(question.refers_to)
        choices = known or questions.list_choices(question.kind)
        text = question.text
        if choices:
            text += f' One of: {", ".join(choices)}.'
        if offered is not None:
            text += f' [{_format_default(offered)}]'
        return f'\n{text}\n> '

    def _check_known(self, question, value) -> None:
        known = self._known_names.get(question.refers_to)
        if known and value not in known:
            raise ValueError(f'{value!r} is not one of ' + ', '.join(known))

    def _add_known_names(self, shape: type, given: Plain) -> None:
        if shape is answer_types.Region:
            self._known_names['failure domain'] += given['failure_domains']
        if shape is answer_types.Service:
            self._known_names['service'].append(given['name'])


def _find_default(question: questions.Question, offered: Plain) -> Plain:
    """Return the default of a question as a plain value, or None."""
    if question.field in offered:
        return offered[question.field]
    if question.default is msgspec.NODEFAULT:
        return None
    return msgspec.to_builtins(question.default)


def _format_default(value: Plain) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(value)
    return str(value)


def _parse_answer(question: questions.Question, text: str) -> Plain:
    """Parse a line as the type of a question."""
    shape = questions.strip_annotation(question.kind)
    value: Plain = text
    if shape is bool:
        if text.lower() not in YES + NO:
            raise ValueError('answer yes or no')
        return text.lower() in YES
    elif shape is int:
        value = int(text) if text.lstrip('-').isdigit() else text
    elif questions.find_member(shape) is not None:
        value = [part for part in re.split(r'[,\s]+', text) if part]
    try:
        msgspec.convert(value, question.kind)
    except msgspec.ValidationError as error:
        raise ValueError(_describe_error(question, text, str(error))) from None
    return value


def _describe_error(
    question: questions.Question, text: str, reason: str
) -> str:
    """Describe the valid answers without terms of the type system."""
    if not text:
        return 'an answer is required'
    if choices := questions.list_choices(question.kind):
        return f'{text!r} is not one of ' + ', '.join(choices)
    for pattern, words in PATTERN_DESCRIPTIONS.items():
        if pattern in reason:
            return f'{text!r} is not {words}'
    return reason
