"""A table of numbered slots with generations, so that a stale handle cannot reach a slot's next item.

An upgrade transfers a table to the next process by its attribute names.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, Generic, TypeVar

T = TypeVar("T")
_INDEX_BITS: Final = 20
_INDEX_MASK: Final = (1 << _INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """Stores items under handles, each valid only until its item is removed.

    A handle is the slot's generation, shifted by 20 bits, and the slot's index.
    """

    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])

    def add(self, item: T) -> int:
        """Put an item into a free slot and return its handle."""
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        self._size += 1
        return self._generations[index] << _INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        """Return the item of a handle, or None if it was removed."""
        index = handle & _INDEX_MASK
        if index < len(self._items) and self._generations[index] == handle >> _INDEX_BITS:
            return self._items[index]
        return None

    def remove(self, handle: int) -> T | None:
        """Remove and return the item of a handle, or return None if it was removed before."""
        item = self.get(handle)
        if item is not None:
            index = handle & _INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
            self._size -= 1
        return item
